package host_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleDuration is how long an idle fleet is measured.
const idleDuration = 5 * time.Second

// BenchmarkIdle reports the control traffic of an entry host, and the CPU time
// and memory of an entry host and a control host, while no calls are made, for
// several numbers of shard groups and of entry hosts.
func BenchmarkIdle(b *testing.B) {
	for _, c := range []struct{ groups, entries int }{{1, 2}, {4, 2}, {13, 2}, {4, 8}, {4, 16}} {
		b.Run(fmt.Sprintf("groups=%d/entries=%d", c.groups, c.entries), func(b *testing.B) {
			f := newCustomFleet(b, 3, c.entries, c.groups, false, defaultEngine)
			for range b.N {
				f.measureIdle(b)
			}
		})
	}
}

func (f *fleet) measureIdle(b *testing.B) {
	bytes, entryCPU, controlCPU := f.wireBytes(b), f.cpuTime(b, "entry-0"), f.cpuTime(b, "control-0")
	time.Sleep(idleDuration)
	b.ReportMetric((f.wireBytes(b)-bytes)/idleDuration.Seconds(), "entry-B/s")
	b.ReportMetric(100*(f.cpuTime(b, "entry-0")-entryCPU).Seconds()/idleDuration.Seconds(), "entry-%core")
	b.ReportMetric(100*(f.cpuTime(b, "control-0")-controlCPU).Seconds()/idleDuration.Seconds(), "control-%core")
	b.ReportMetric(f.residentMB(b, "entry-0"), "entry-MB")
	b.ReportMetric(f.residentMB(b, "control-0"), "control-MB")
}

// wireBytes returns the number of bytes that entry host 0 has sent to and
// received from other processes of the fleet.
func (f *fleet) wireBytes(b *testing.B) float64 {
	b.Helper()
	resp, err := http.Get("http://" + f.entryAdmins[0] + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.Fatal(err)
	}
	sum := 0.0
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, " ")
		if name == "banyanspur_wire_sent_bytes_total" || name == "banyanspur_wire_received_bytes_total" {
			n, _ := strconv.ParseFloat(value, 64)
			sum += n
		}
	}
	return sum
}

// clockTicksPerSecond is the unit of CPU times in /proc.
const clockTicksPerSecond = 100

// cpuTime returns the user and system CPU time that a host has used.
func (f *fleet) cpuTime(b *testing.B, name string) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.hosts[name].Process.Pid))
	if err != nil {
		b.Skip("no /proc on this system")
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentMB returns the resident memory of a host in units of 10^6 bytes.
func (f *fleet) residentMB(b *testing.B, name string) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.hosts[name].Process.Pid))
	if err != nil {
		b.Skip("no /proc on this system")
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}
