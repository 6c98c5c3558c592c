package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"time"
)

const (
	greyServers = 7
	// greyShare is the share of its requests that the grey server fails, greyFor how long it does.
	greyShare   = 0.45
	greyFor     = 6500 * time.Millisecond
	greyWindows = 10
	// greyPause is the time between two windows, silentFor how long a sound server sends nothing.
	greyPause  = 1500 * time.Millisecond
	silentFor  = 1500 * time.Millisecond
	silences   = 2
	greyBegins = 10 * time.Second
	// greyRequesters send to both machines.
	greyRequesters = 56

	streamFirstAfter = 350 * time.Millisecond
	failAtOnce       = 20 * time.Millisecond
	// overlapLimit is how long a server may work on a request that another one has got.
	overlapLimit = 400 * time.Millisecond
)

// greyWindow is a time in which a server fails a share of its requests.
type greyWindow struct {
	server   string
	from, to time.Time
}

// playSilentStreams plays failures that come when the first event is due, and looks for streams that are lost.
func playSilentStreams(with setup, record *os.File) (broken bool, err error) {
	return playBesideGrey(with, streamFirstAfter, record, func(s *site, isSound soundness) bool { return s.book.judgeLosses(record, isSound) })
}

// playTwoAtWork plays failures that come at once, and looks for streams that two servers work on.
func playTwoAtWork(with setup, record *os.File) (broken bool, err error) {
	return playBesideGrey(with, failAtOnce, record, func(s *site, isSound soundness) bool { return s.book.judgeOverlaps(record, isSound) })
}

// soundness reports whether a server was sound all the time between two.
type soundness func(server string, from, to time.Time) bool

// playBesideGrey makes one of seven servers fail a part of its requests for 6.5 s, another one each time, while two of the others,
// which are sound, fall silent for 1.5 s and go on.
func playBesideGrey(with setup, failAfter time.Duration, record *os.File, judge func(s *site, isSound soundness) bool) (broken bool, err error) {
	s := newSite()
	defer s.close()
	for i := range greyServers {
		s.servers = append(s.servers, &server{
			id: fmt.Sprintf("i-%d", i+1), service: modelService, slots: 11, queue: 66, book: s.book,
			events: streamEvents, firstAfter: streamFirstAfter, interval: 100 * time.Millisecond, failAfter: failAfter,
		})
	}
	if err := s.start(with, hungConfiguration()); err != nil {
		return false, err
	}
	s.book.start = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var requesters sync.WaitGroup
	for i := range greyRequesters {
		m := s.machines[i%machineCount]
		q := &requester{
			name: fmt.Sprintf("r%d", i+1), machine: m.name, address: m.address(callerPort), book: s.book,
			timeLimit: routeLimit, patience: patience, pause: 300 * time.Millisecond, events: streamEvents,
		}
		requesters.Go(func() { q.run(ctx) })
	}
	time.Sleep(time.Until(s.book.start.Add(greyBegins)))
	var grey []greyWindow
	for window := range greyWindows {
		grey = append(grey, s.playGreyWindow(window, with.trouble, record))
		time.Sleep(greyPause)
	}
	stop()
	requesters.Wait()
	return judge(s, func(server string, from, to time.Time) bool {
		for _, w := range grey {
			if w.server == server && from.Before(w.to) && w.from.Before(to) {
				return false
			}
		}
		return true
	}), nil
}

// playGreyWindow plays one window and returns it.
func (s *site) playGreyWindow(number int, trouble bool, record *os.File) greyWindow {
	grey := s.servers[number%len(s.servers)]
	w := greyWindow{server: grey.id, from: time.Now()}
	if trouble {
		fmt.Fprintf(record, "%s s: server %s fails %g of its requests for %s\n", s.book.seconds(w.from), grey.id, greyShare, greyFor)
		grey.failing.Store(math.Float64bits(greyShare))
	}
	for n := range silences {
		sound := s.servers[(number+2*(n+1))%len(s.servers)]
		fmt.Fprintf(record, "%s s: server %s, which is sound, is silent for %s\n", s.book.seconds(time.Now()), sound.id, silentFor)
		sound.silentUntil.Store(time.Now().Add(silentFor).UnixNano())
		time.Sleep(greyFor / silences)
	}
	grey.failing.Store(0)
	w.to = time.Now()
	return w
}

// judgeOverlaps writes all requests and reports whether one went on at another server, which ran it and answered, while the sound server
// before still worked on it too long after.
func (b *book) judgeOverlaps(record *os.File, isSound soundness) (broken bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	served, overlaps := 0, 0
	longest := time.Duration(0)
	for _, r := range b.requests {
		verdict := "not served"
		if r.whole && r.status == 200 {
			served++
			verdict = "served"
		}
		arrivals := b.arrivals[r.id]
		for i, next := range arrivals[min(1, len(arrivals)):] {
			before := arrivals[i]
			overlap := before.ended.Sub(next.at)
			if before.ran && next.ran && (next.failed || next.whole) && overlap > overlapLimit && isSound(before.server, r.sentAt, before.ended) {
				overlaps++
				longest = max(longest, overlap)
				verdict = fmt.Sprintf("TWICE: server %s worked on it for %.3f s after server %s had got and run it", before.server, overlap.Seconds(), next.server)
			}
		}
		b.write(record, r, verdict)
	}
	summary := fmt.Sprintf("%d requests: %d served, %d worked on for more than %s at the server before after another one had got and run them (0 are allowed), %s at most\n",
		len(b.requests), served, overlaps, overlapLimit, longest.Round(time.Millisecond))
	fmt.Fprint(record, summary)
	fmt.Print(summary)
	return overlaps > 0
}
