// Package crowd tests the program under many clients that do not keep to its limits: bodies that
// are large, sent slowly or never end, headers without end, silent connections, responses that
// nobody reads. Each test starts hosts as processes on loopback addresses and checks that all of
// them live, stay within the memory and the descriptors of their machines, and answer ordinary
// requests. It checks no times and no shares of requests, so that its verdict does not depend on
// the speed of the machine.
//
// The tests need the build tag "crowd", since they must not run beside other tests:
//
//	go test -tags crowd -count=1 -p 1 -timeout 20m ./crowd
package crowd
