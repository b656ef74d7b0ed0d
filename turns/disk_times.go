package turns

import (
	"time"
)

const (
	// minCopyBatchBytes is what a batch takes of copies in any case, a part. With syncs of 5 ms it is 50 MB/s, more than
	// a link carries.
	minCopyBatchBytes = maxCopyBytes
	// copySlowdown is how many times as long a batch may take with copies as with minCopyBatchBytes of them at most. At
	// 2 they get half of what the disk writes, and a live write waits for four syncs: the batch under way, and its own.
	copySlowdown = 2
	// copyDrainTime is the time within which the copies that wait are written beside live writes. At the most that
	// copies take of a link of 130 Mbit/s, 13 MB/s, 2.6 MB wait, of maxUnwrittenBytes.
	copyDrainTime = 200 * time.Millisecond
	// baseInterval is after how many batches with more copies one takes minCopyBatchBytes, for the time of the base.
	baseInterval = 8
	// timeWeight is the weight of a new time, as a divisor, among those before it, and shorterWeight that of one that
	// lowers the time of the base.
	timeWeight, shorterWeight = 4, 2
)

// diskTimes bounds the copies of a batch by how much they prolong it. Sync times change by the load of the machine, and
// live writes become more in a batch when syncs take longer, so a rate of the disk can't be read from sizes and times: a
// line through them gave 2 MB/s, and 256 KiB of copies in batches of 0.4 s, for 8 s after syncs had become slow. So the
// bound is doubled as long as the batches that meet it are not too slow, and halved if one is. The zero value has no
// times yet. Only the goroutine of [Store.Run] uses it.
type diskTimes struct {
	mean  time.Duration // of all batches
	base  time.Duration // of those with few copies
	bound int           // of copies in a batch, in bytes; 0 before the first batch
	// sinceBase counts the batches since the last one with few copies.
	sinceBase int
}

// add records a batch with so many bytes of copies.
func (d *diskTimes) add(copied int, took time.Duration) {
	if d.bound == 0 {
		d.mean, d.base, d.bound = took, took, minCopyBatchBytes
	}
	d.mean += (took - d.mean) / timeWeight
	switch {
	case took < d.base: // A batch without these copies would have taken no longer.
		d.base += (took - d.base) / shorterWeight
	case copied <= minCopyBatchBytes:
		d.base += (took - d.base) / timeWeight
	}
	if d.sinceBase++; copied <= minCopyBatchBytes {
		d.sinceBase = 0
	}
	switch {
	case took > copySlowdown*d.base:
		d.bound = max(d.bound/2, minCopyBatchBytes)
	case copied >= d.bound/2:
		d.bound = min(2*d.bound, maxBatchBytes)
	}
}

// copyBytes returns how many bytes of copies the next batch takes at most, of those that are queued. Beside live writes
// it is what lets the copies that wait be written within copyDrainTime.
func (d *diskTimes) copyBytes(queued int, besideLive bool) int {
	if !besideLive {
		return max(d.bound, minCopyBatchBytes)
	}
	if d.sinceBase >= baseInterval {
		return minCopyBatchBytes
	}
	due := int(float64(queued) * d.mean.Seconds() / copyDrainTime.Seconds())
	return max(min(d.bound, due), minCopyBatchBytes)
}
