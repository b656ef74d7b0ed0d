package drain_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/drain"
	"github.com/banyanspur/banyanspur/types"
)

const second = types.Mono(time.Second)

type (
	states  = map[types.TargetID]drain.State
	reasons = map[types.TargetID]drain.Reason
)

// TestAnnouncementEnds guards against targets that stay without requests after another
// process has taken their place, and against targets that get requests again although
// they still drain.
func TestAnnouncementEnds(t *testing.T) {
	type step struct {
		at   types.Mono
		list states
		want reasons
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the list shows it later, then no longer", []step{
			{second, states{"t": drain.Ready}, reasons{}},
			{2 * second, states{"t": drain.Draining}, reasons{}},
			{60 * second, states{"t": drain.Draining}, reasons{}},
			{61 * second, states{}, reasons{"t": drain.Unlisted}},
		}},
		{"it starts again under its ID", []step{
			{second, states{"t": drain.Draining}, reasons{}},
			{5 * second, states{"t": drain.Ready}, reasons{"t": drain.Replaced}},
		}},
		{"the list contradicts it", []step{
			{9 * second, states{"t": drain.Ready}, reasons{}},
			{10 * second, states{"t": drain.Ready}, reasons{"t": drain.Unconfirmed}},
		}},
		{"the list is known only through a leader that has heard it, too", []step{
			{30 * second, states{"t": drain.Announced}, reasons{}},
			{31 * second, states{"t": drain.Ready}, reasons{"t": drain.Unconfirmed}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table drain.Table
			table.Announce("t", 0, 0)
			for _, s := range c.steps {
				if diff := cmp.Diff(s.want, table.Update(s.list, s.at)); diff != "" {
					t.Errorf("ended after %v (-want +got):\n%s", time.Duration(s.at), diff)
				}
				if diff := cmp.Diff(len(s.want) == 0, table.Has("t")); diff != "" {
					t.Errorf("drains after %v (-want +got):\n%s", time.Duration(s.at), diff)
				}
			}
		})
	}
}

// TestRepeatedAnnouncementLasts guards against a target that gets a request every
// ConfirmTime although it announces that it drains in each response.
func TestRepeatedAnnouncementLasts(t *testing.T) {
	var table drain.Table
	for at := types.Mono(0); at < 60*second; at += 5 * second {
		table.Announce("t", at, at)
		table.Update(states{"t": drain.Ready}, at)
	}
	if !table.Has("t") {
		t.Error("the announcement has ended")
	}
}

// TestLateResponseOfEarlierProcess guards against a response of the process that has
// drained, received after the list has shown the next one under the same ID.
func TestLateResponseOfEarlierProcess(t *testing.T) {
	var table drain.Table
	table.Announce("t", 0, 0)
	table.Update(states{"t": drain.Draining}, second)
	table.Update(states{"t": drain.Ready}, 5*second)
	if table.Announce("t", 4*second, 6*second) || table.Has("t") {
		t.Error("the response to a request of before counts")
	}
	if !table.Announce("t", 6*second, 7*second) {
		t.Error("the response to a request of afterwards does not count")
	}
}

// TestGrace guards against a service without targets in the moment between the
// announcement of all of its targets and the list with their successors, and against
// requests to a target that has announced that it drains long ago.
func TestGrace(t *testing.T) {
	var table drain.Table
	table.Announce("t", 0, 0)
	table.Announce("t", second, second) // The first one counts.
	got := map[string]bool{
		"at once": table.InGrace("t", 0), "after a second": table.InGrace("t", second), "after two": table.InGrace("t", 2*second), "another": table.InGrace("u", 0),
	}
	want := map[string]bool{"at once": true, "after a second": true, "after two": false, "another": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("in grace (-want +got):\n%s", diff)
	}
}

// TestOnlyHeardAnnouncementsAreReported guards against hosts that keep an announcement
// alive by telling each other of it.
func TestOnlyHeardAnnouncementsAreReported(t *testing.T) {
	var table drain.Table
	table.Learn("learned", 0)
	table.Announce("heard", 0, second)
	if diff := cmp.Diff(map[types.TargetID]time.Duration{"heard": 2 * time.Second}, table.Heard(3*second)); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(reasons{"learned": drain.Unconfirmed}, table.Update(states{"learned": drain.Ready, "heard": drain.Ready}, 3*second)); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}
