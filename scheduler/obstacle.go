package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// Obstacle is why an endpoint didn't get a piece of work in a decision.
type Obstacle int

// The obstacles, in the order in which they are looked for.
const (
	// ObstacleOrder means that the free slots were left to work that waits on other hosts.
	ObstacleOrder Obstacle = iota
	// ObstacleUnavailable means that the endpoint took no work from this host or may not run this work.
	ObstacleUnavailable
	// ObstacleFull means that all slots were taken.
	ObstacleFull
	// ObstacleReserve means that the free slots were left to more urgent work.
	ObstacleReserve
	// ObstacleLateReserve means that the work was late and the free slots were left to work that could be on time.
	ObstacleLateReserve
	// ObstacleFirstEvent means that the first event would have been late.
	ObstacleFirstEvent
	// ObstaclePause means that the prompt would have delayed the events of other runs for too long.
	ObstaclePause
	// ObstacleDeadline means that the answer would not have ended before the deadline.
	ObstacleDeadline
	obstacleCount
)

var obstacleNames = [obstacleCount]string{"order", "unavailable", "full", "reserve", "late-reserve", "first-event", "pause", "deadline"}

// String returns the obstacle as it appears in logs and metrics.
func (o Obstacle) String() string {
	return obstacleNames[o]
}

// Obstacles counts what kept a piece of work from the endpoints in all decisions; the zero value is empty.
type Obstacles [obstacleCount]int

// String lists the obstacles that were met with their counts, as in "full 12, reserve 3".
func (o Obstacles) String() string {
	var met []string
	for obstacle, count := range o {
		if count > 0 {
			met = append(met, fmt.Sprintf("%s %d", Obstacle(obstacle), count))
		}
	}
	return strings.Join(met, ", ")
}

// Main returns the most frequent obstacle at endpoints with a free slot; ObstacleFull if none had one.
func (o Obstacles) Main() Obstacle {
	most := ObstacleFull
	for obstacle, count := range o {
		switch obstacle := Obstacle(obstacle); obstacle {
		case ObstacleFull, ObstacleUnavailable:
		default:
			if count > 0 && (most == ObstacleFull || count > o[most]) {
				most = obstacle
			}
		}
	}
	return most
}

// recordObstacle counts an obstacle that the work met in the pass, if that is the one by which it is to be placed at this time.
func (w Work) recordObstacle(now time.Time, p pass, o Obstacle) {
	late := !now.Before(w.Arrived.Add(w.Objective))
	if late == (p == passLate) {
		w.obstacles[o]++
	}
}
