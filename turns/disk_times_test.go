package turns

import (
	"testing"
	"time"
)

// writeCopies lets a disk whose syncs take some time and which writes a number of bytes per second write batches that
// are full of copies beside live writes, and returns the bytes of copies and the longest time of a batch.
func writeCopies(d *diskTimes, batches int, sync time.Duration, bytesPerSecond float64) (copied int, longest time.Duration) {
	for range batches {
		n := d.copyBytes(maxUnwrittenBytes, true)
		took := sync + time.Duration(float64(n)/bytesPerSecond*float64(time.Second))
		d.add(n, took)
		copied += n
		longest = max(longest, took)
	}
	return copied, longest
}

// TestCopiesFollowSlowSyncs guards against copies that are late since the bound on them does not follow the disk: syncs
// that have taken 5 ms take 0.4 s, as under load, and the batches must then take what 6.5 MB/s need, 2.6 MB each.
func TestCopiesFollowSlowSyncs(t *testing.T) {
	var d diskTimes
	for range 100 {
		d.add(0, 5*time.Millisecond)
	}
	const slow, settle, batches = 400 * time.Millisecond, 12, 20
	writeCopies(&d, settle, slow, 100e6)
	if copied, _ := writeCopies(&d, batches, slow, 100e6); copied < batches*2_600_000 {
		t.Errorf("%d batches of 0.4 s take %d bytes of copies, want 2.6 MB each", batches, copied)
	}
}

// TestCopiesLeaveTimeOnSlowDisk guards against a bound that grows with the time that copies take themselves, up to
// batches of a second on a disk that writes 8 MB/s.
func TestCopiesLeaveTimeOnSlowDisk(t *testing.T) {
	var d diskTimes
	const sync, batches, bytesPerSecond = 100 * time.Millisecond, 40, 8e6
	copied, longest := writeCopies(&d, batches, sync, bytesPerSecond)
	if limit := 4 * sync; longest > limit {
		t.Errorf("a batch took %v with copies, want at most %v", longest, limit)
	}
	if copied < batches*700_000 {
		t.Errorf("%d batches took %d bytes of copies, want 0.7 MB each at least", batches, copied)
	}
}

// TestCopiesShrinkWhenSyncsAreFast guards against a bound that stays large, by times from when syncs were slow.
func TestCopiesShrinkWhenSyncsAreFast(t *testing.T) {
	var d diskTimes
	const bytesPerSecond = 20e6
	writeCopies(&d, 30, time.Second, bytesPerSecond)
	const fast, batches = 5 * time.Millisecond, 60
	writeCopies(&d, batches, fast, bytesPerSecond)
	if _, longest := writeCopies(&d, batches, fast, bytesPerSecond); longest > 60*time.Millisecond {
		t.Errorf("a batch takes %v with copies after syncs have become fast, want at most 60 ms", longest)
	}
}
