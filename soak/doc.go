// Package soak injects random faults into a fleet of real processes and checks
// the fleet's guarantees by what callers and targets observe.
//
// The package consists of tests only. Faults are injected from outside the
// processes: SIGKILL, SIGSTOP, graceful stops, lost data directories, torn writes,
// and a relay in front of each host that delays traffic, resets connections, drops
// all traffic or drops one direction. Stores are retired and replaced while an entry
// host is frozen. Operators evacuate zones and take them back. Each run ends with the
// loss of all processes and of one data directory at the same moment.
//
// Targets end too, name limits and write refusals of other requests, the list of
// targets has an odd entry, and entry hosts lose their paths to targets: that cut is
// made within the process, where it opens connections, since single processes have no
// network of their own. The seed determines everything except the timing of the
// machine.
//
// To run many seeds, start the tests in the root directory of the module without
// the default timeout of 10 minutes:
//
//	go test ./soak -timeout 0 -seeds 50 -first 1000 -for 20s
//
// TestDeploymentUnderFaults runs programs with open connections, rotation by readiness and
// retries against a deployment, small by default. Its hosts run the program as
// deploy/system.toml builds and starts it, with settings from its template, and have the
// limits of a deployment: each process is stopped for the rest of each 100 ms beyond its share
// of the processor, is killed if it exceeds its memory, and has so many descriptors; the
// relays delay traffic between hosts to the rates of their links. Faults overlap and come in
// series; planned stops of control hosts, stores and entry hosts follow in calm, then all hosts
// of a role, or all hosts, fail. SIGHUPs come at all times. At the end all hosts lose power
// right after an acknowledged change, a turn or the start of sub-agents, and as many as tolerated lose their disks.
// All the while targets crash, return, are slow, drain, leave, are added and get the addresses
// of others, and operators move, split, add and remove routes, keys and timeouts, two at once
// at times. A control host, a store and an entry host are replaced at other addresses.
// A store is retired, and disks of others are lost right after it is emptied. Targets lose, break
// off or spoil some answers, or write bytes after them. Faults of hosts with a disk follow right
// after a change was acknowledged or sent. Callers press, move to one zone, give up and send
// slowly; acknowledgments to operators are lost. Hosts are separated from others in pairs.
// The test counts per 2 s what was offered, connected and served, and why the rest was not,
// also by availability zone, client account and kind of request.
// The sizes "orders" and "booking" are two whole deployments of 16 and 15 hosts with 33 and 42
// programs a second; TestWholeDeployments plays both for a short time.
// The size "grown" has 74 hosts and 56 targets; it takes 2 of 8 processors at 30 programs a
// second and 3 to 4 at 88 (-programs). On a machine with a load average above 50 the hosts get
// less than their share:
//
//	go test ./soak -run TestDeploymentUnderFaults -timeout 0 -size grown -first 1 -seeds 1 -for 60s
//
// A loss of power takes writes and names of files that no sync has covered, all of them or each
// by itself (package crash). For that, the program is built with the tag "disklog", and each
// process reports what it does with its disk. Hosts lose power alone, a store with a control
// host, or all together, also within 0.4 s of a start and twice in a row. Programs of other
// builds do not report, and get an incomplete frame in their logs instead.
//
// After the final fault, turns that were answered whole before it are continued at random entry
// hosts until a target has got them, which must be within the recovery time, and then others once
// each in the last 4 s, which must each reach a target while first turns are served. Half of the
// disks lost there are those of the stores that have lasted longest, and a third of the faults come
// right after a turn was answered.
//
// Syncs of the size "orders" take at least 5 ms, its turns have inputs of 17 kB at the mean and 1 to
// 31 events. For slow disks from the final fault on, and for few processors:
//
//	taskset -c 0-3 go test ./soak -run TestDeploymentUnderFaults -timeout 0 -size orders -first 1 -finalsync 300ms
//
// TestSilentLossOfPower takes the power of all hosts after replacements, a retirement, lost disks and planned stops, so that
// connections to them hang. Hosts whose disks are lost return later than the others, and one entry host perhaps never:
//
//	go test ./soak -run TestSilentLossOfPower -timeout 0 -size grown -load 45s -first 1 -seeds 10
//
// After some turns, programs start up to four sub-agents, which run turns at the same time, each with a session of its
// own or none. Budgets hold what the program has generated and the turns that run at the same time, and hardly
// more. A turn that is refused for its budget must not fit into it, and turns that have reached no target count nothing.
// Some programs loop until their budget is spent.
//
// A turn that continues another one and reaches no target though it must is reported with the reason, each of its tries,
// and what the entry hosts have logged of them: the shard, its stores, and why replies are missing. Of one
// program, "banyanspur trace PROGRAM LOGS" tells the same from the logs that a failed test keeps.
//
// In a dark final fault, all hosts lose power silently and are back after 0.3 s, but those whose disks are lost, which return 7 s
// later. The disks are random ones (dark), the oldest ones (dark-oldest) or those of one shard (dark-shard).
// The recovery time counts from the return of the last host, or with -early from that of the others. One in three
// seeds of TestSilentLossOfPower has such a fault:
//
//	go test ./soak -run TestDeploymentUnderFaults -timeout 0 -size grown -first 7306 -for 8s -final dark-shard -early
//
// TestDisksLostAtCatchUp takes the next disk at the time after which it may be lost, by which the copies
// for the one before must be complete. By hand, stores are filled for longer, and on slow disks:
//
//	go test ./soak -run TestDisksLostAtCatchUp -timeout 0 -size orders -first 1 -fill 25s -sync 300ms
//
// Not injected: slow syncs at other times, links of a limited rate to callers and targets, and, but for
// the silent loss of power, entry hosts that do not answer callers at all: a killed process resets its connections.
package soak
