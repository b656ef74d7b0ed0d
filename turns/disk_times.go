package turns

import (
	"math"
	"time"
)

const (
	// minCopyBatchBytes is the most that a batch takes of copies on the fastest disks, a part. With syncs of 5 ms it is
	// 50 MB/s, more than a link carries.
	minCopyBatchBytes = maxCopyBytes
	// copySyncShare is how many times as long as a sync the copies of one batch may take at most. They get two thirds
	// of the disk's throughput then, and a live write waits for at most twice three times a sync.
	copySyncShare = 2
	// copyDrainTime is the time within which the copies that wait are written beside live writes. At the most that
	// copies take of a link of 130 Mbit/s, 13 MB/s, 2.6 MB wait, of maxUnwrittenBytes.
	copyDrainTime = 200 * time.Millisecond
	// assumedDiskRate, in bytes per second, is what a disk writes, with the work of the processor, as long as there are
	// no batches of different sizes to compare. Stores with 0.272 of a processor took 0.4 to 2.1 s for up to 6 MB.
	assumedDiskRate = 10e6
	// minDiskRate and maxDiskRate bound the estimate.
	minDiskRate, maxDiskRate = 2e6, 400e6
	// assumedSync is the time of a sync before the first batch.
	assumedSync = 5 * time.Millisecond
	// diskSamples is the number of the last batches that count, 0.2 s of syncs of 5 ms, and 9 s of 0.3 s.
	diskSamples = 32
)

// diskTimes estimates how long the batches of a store take: a sync, and longer with each byte. The zero value has no
// samples yet. Only the goroutine of [Store.Run] uses it.
type diskTimes struct {
	samples [diskSamples]diskSample
	count   int // of all samples so far
}

type diskSample struct{ bytes, seconds float64 }

// add records a batch.
func (d *diskTimes) add(bytes int, took time.Duration) {
	d.samples[d.count%diskSamples] = diskSample{float64(bytes), took.Seconds()}
	d.count++
}

// estimate returns the mean time of the last batches, and how long a batch takes without any bytes and for each byte,
// all in seconds: a line of least squares through the samples, drawn towards the slope of assumedDiskRate as long as
// the sizes hardly differ.
func (d *diskTimes) estimate() (mean, sync, perByte float64) {
	samples := d.samples[:min(d.count, diskSamples)]
	n := float64(len(samples))
	if n == 0 {
		return assumedSync.Seconds(), assumedSync.Seconds(), 1 / float64(assumedDiskRate)
	}
	var bytes float64
	for _, s := range samples {
		bytes += s.bytes / n
		mean += s.seconds / n
	}
	weight := n * minCopyBatchBytes * minCopyBatchBytes
	sumXX, sumXY := weight, weight/assumedDiskRate
	for _, s := range samples {
		sumXX += (s.bytes - bytes) * (s.bytes - bytes)
		sumXY += (s.bytes - bytes) * (s.seconds - mean)
	}
	perByte = min(max(sumXY/sumXX, 1/float64(maxDiskRate)), 1/float64(minDiskRate))
	return mean, max(mean-perByte*bytes, mean/4), perByte
}

// copyBytes returns how many bytes of copies the next batch takes, of those that are queued. Beside live writes it is
// what lets the copies that wait be written within copyDrainTime.
func (d *diskTimes) copyBytes(queued int, besideLive bool) int {
	mean, sync, perByte := d.estimate()
	most := math.Max(copySyncShare*sync/perByte, minCopyBatchBytes)
	if besideLive {
		most = min(most, max(float64(queued)*mean/copyDrainTime.Seconds(), minCopyBatchBytes))
	}
	return int(min(most, maxBatchBytes))
}
