package scheduler

const (
	// sizeWeight is the weight of a request in the moving average of sizes.
	sizeWeight = 0.02
	// sizePenaltyFactor is the relative increase of the score of an endpoint in another availability zone for work of mean size
	// while all slots are free.
	sizePenaltyFactor = 4
	// maxRelativeSize bounds the size that counts, relative to the mean.
	maxRelativeSize = 3
	// minFreeShare is the share of free slots up to which the way doesn't count, as then the fastest endpoints are needed.
	minFreeShare = 0.3
)

// sizePenalty returns the relative increase of the score of an endpoint in another availability zone for the bytes that the
// work sends there. With many slots free, an endpoint that is slower and near is on time as well.
func (v *service) sizePenalty(w Work) float64 {
	if v.meanSize <= 0 {
		return 0
	}
	ample := max(v.freeShare-minFreeShare, 0) / (1 - minFreeShare)
	return sizePenaltyFactor * ample * min(float64(w.Size)/v.meanSize, maxRelativeSize)
}
