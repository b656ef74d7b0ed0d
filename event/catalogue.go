package event

import "github.com/sirupsen/logrus"

// Kinds of events. The hundreds digit of the number is the category:
// 1xx process lifecycle, 2xx replication and storage, 3xx configuration,
// 4xx calls, 5xx targets, 6xx connections between hosts.
var (
	HostStarted          = Kind{101, logrus.InfoLevel, "host started"}
	HostDraining         = Kind{102, logrus.InfoLevel, "host draining"}
	HostStopped          = Kind{103, logrus.InfoLevel, "host stopped"}
	HostFailed           = Kind{104, logrus.ErrorLevel, "host failed"}
	SettingsChanged      = Kind{105, logrus.InfoLevel, "changed settings in force"}
	SettingsKept         = Kind{106, logrus.WarnLevel, "changed settings need a restart"}
	SettingsRefused      = Kind{107, logrus.WarnLevel, "settings file refused, the settings in force stay"}
	HandlerPanicked      = Kind{108, logrus.ErrorLevel, "handler of a request panicked, the process goes on"}
	ProcessCrashed       = Kind{109, logrus.ErrorLevel, "process before this one ended by a panic"}
	MemoryNearLimit      = Kind{110, logrus.WarnLevel, "memory of the process is near its limit"}
	LeaderElected        = Kind{201, logrus.InfoLevel, "replica became leader"}
	LeaderLost           = Kind{202, logrus.WarnLevel, "replica stopped leading"}
	LogTruncated         = Kind{203, logrus.WarnLevel, "incomplete record cut from the end of the log"}
	LogCorrupt           = Kind{204, logrus.ErrorLevel, "log is corrupt, or a part of it is missing"}
	SnapshotWritten      = Kind{205, logrus.InfoLevel, "snapshot written"}
	SnapshotInstalled    = Kind{206, logrus.InfoLevel, "snapshot installed from the leader"}
	StorageFailed        = Kind{207, logrus.ErrorLevel, "storage failed, replica stops"}
	DiskIOFailed         = Kind{208, logrus.WarnLevel, "disk refused a read or a write"}
	GroupBootstrapped    = Kind{209, logrus.InfoLevel, "group founded"}
	MembersChanged       = Kind{210, logrus.InfoLevel, "membership of a group changed"}
	ShardMoved           = Kind{211, logrus.InfoLevel, "stores of a shard changed"}
	ShardCopied          = Kind{212, logrus.InfoLevel, "shard copied from the other stores"}
	CopyFailed           = Kind{213, logrus.WarnLevel, "copying a shard failed, will be tried again"}
	ExpiryUnproven       = Kind{214, logrus.WarnLevel, "expired turns are kept, too few stores reply"}
	StoreCapacity        = Kind{215, logrus.WarnLevel, "store begins or ceases to refuse programs for lack of capacity"}
	ShardReformed        = Kind{216, logrus.ErrorLevel, "majority of a shard's stores has lost its disks, shard formed anew from the others"}
	ReformExpired        = Kind{217, logrus.InfoLevel, "turns that a shard may have lost would have expired"}
	DiskSlow             = Kind{218, logrus.WarnLevel, "disk took long for a write of a replica"}
	MembershipInDoubt    = Kind{219, logrus.WarnLevel, "replica has no contact to a leader and asks whether it is still a member"}
	ElectionStarted      = Kind{220, logrus.InfoLevel, "replica requests votes"}
	ElectionLost         = Kind{221, logrus.WarnLevel, "election has ended without making the replica the leader"}
	VoteStored           = Kind{222, logrus.InfoLevel, "vote of a replica is durable"}
	StoreWriteSlow       = Kind{223, logrus.WarnLevel, "disk took long for a write of a store"}
	OrderDecided         = Kind{301, logrus.InfoLevel, "configuration order decided"}
	ConfigApplied        = Kind{302, logrus.InfoLevel, "configuration version in force"}
	LeaseLost            = Kind{303, logrus.WarnLevel, "configuration lease ran out, requests are refused"}
	LeaseAcquired        = Kind{304, logrus.InfoLevel, "configuration lease held"}
	PlanApplied          = Kind{305, logrus.InfoLevel, "plan in force on this host"}
	PlanRefused          = Kind{306, logrus.WarnLevel, "plan refused"}
	TargetsChanged       = Kind{307, logrus.InfoLevel, "list of targets changed"}
	LeaderReached        = Kind{308, logrus.InfoLevel, "leader of the configuration group reached"}
	LeaderUnreachable    = Kind{309, logrus.WarnLevel, "leader of the configuration group does not answer"}
	ZoneOrderDecided     = Kind{310, logrus.WarnLevel, "order to evacuate a zone, or to take it back, decided"}
	ZonesApplied         = Kind{311, logrus.InfoLevel, "evacuated zones in force on this host"}
	ServicesEvacuated    = Kind{312, logrus.WarnLevel, "services without a target outside the evacuated zones changed"}
	EntryDropped         = Kind{320, logrus.WarnLevel, "entry of the list of targets names the ID or address of another one"}
	CallOutcomeUnknown   = Kind{401, logrus.WarnLevel, "outcome of a call that may not be repeated is unknown"}
	CallQuarantined      = Kind{402, logrus.WarnLevel, "request quarantined after its targets failed"}
	SessionExpired       = Kind{403, logrus.WarnLevel, "session of an entry host expired"}
	CallCloseFailed      = Kind{404, logrus.ErrorLevel, "outcome of a call could not be stored"}
	RequestRefused       = Kind{405, logrus.InfoLevel, "request refused"}
	RequestSent          = Kind{406, logrus.InfoLevel, "request sent to a target"}
	RequestEnded         = Kind{407, logrus.InfoLevel, "request ended"}
	TurnDurable          = Kind{408, logrus.InfoLevel, "turn durable on a majority of its stores"}
	BudgetDecided        = Kind{409, logrus.InfoLevel, "budget of a program decided"}
	QuarantineEnded      = Kind{410, logrus.InfoLevel, "quarantine of a request ended, a target completed it"}
	QuarantineFailed     = Kind{411, logrus.WarnLevel, "quarantine of requests could not be changed, will be tried again"}
	SuspectsChanged      = Kind{412, logrus.InfoLevel, "list of requests that ended targets changed"}
	ResponseUnread       = Kind{420, logrus.InfoLevel, "response cut off, its caller does not read it"}
	IntakeFull           = Kind{421, logrus.WarnLevel, "no memory left for what peers send, requests refused or connections closed"}
	ConnectionsFull      = Kind{422, logrus.WarnLevel, "no descriptor left for a new connection, another one closed"}
	TargetFailed         = Kind{501, logrus.WarnLevel, "target failed during a call"}
	CachedPrefixReleased = Kind{502, logrus.InfoLevel, "memory held for an ended program given back"}
	ReleaseFailed        = Kind{503, logrus.WarnLevel, "target did not accept a release, will be sent again"}
	HostListFailed       = Kind{504, logrus.WarnLevel, "host list could not be read"}
	TargetProbed         = Kind{505, logrus.InfoLevel, "target probed after an interrupted request"}
	TargetLimited        = Kind{506, logrus.InfoLevel, "limit that a target names has changed"}
	TargetFull           = Kind{507, logrus.InfoLevel, "target is at the limit that it names"}
	PathCut              = Kind{508, logrus.WarnLevel, "target cannot be reached directly, its connections go through another host"}
	PathHealed           = Kind{509, logrus.InfoLevel, "target can be reached directly again"}
	ConnectionRelayed    = Kind{510, logrus.InfoLevel, "connection to a target relayed for another host"}
	RelaysChanged        = Kind{511, logrus.InfoLevel, "hosts that relay connections changed"}
	TargetDraining       = Kind{512, logrus.InfoLevel, "target announced that it drains"}
	TargetDrainEnded     = Kind{513, logrus.InfoLevel, "announcement that a target drains ended"}
	TargetUnreachable    = Kind{514, logrus.WarnLevel, "target accepts no connections"}
	TargetReachable      = Kind{515, logrus.InfoLevel, "target accepts connections again"}
	TargetCold           = Kind{516, logrus.InfoLevel, "target is cold"}
	TargetPaced          = Kind{517, logrus.InfoLevel, "limit of a target that starts or recovers has changed"}
	LoadReportIgnored    = Kind{521, logrus.WarnLevel, "load report of a target has figures that are ignored"}
	LinkLost             = Kind{601, logrus.InfoLevel, "link to another host lost"}
	PeerRefused          = Kind{602, logrus.WarnLevel, "link refused, wrong cluster secret"}
	FrameRefused         = Kind{603, logrus.ErrorLevel, "link ended, the other host sends a frame beyond the limit"}
	MessageRefused       = Kind{604, logrus.ErrorLevel, "message too large for another host"}
	AcceptFailed         = Kind{605, logrus.WarnLevel, "connections cannot be accepted, will be tried again"}
	FrameInvalid         = Kind{606, logrus.WarnLevel, "link ended, the other process sends what is no message, or too slowly"}
	MessagePanicked      = Kind{607, logrus.ErrorLevel, "handler of a message panicked, the process goes on"}
)

// Catalog returns all kinds of events, ordered by number.
func Catalog() []Kind {
	return []Kind{
		HostStarted, HostDraining, HostStopped, HostFailed, SettingsChanged, SettingsKept, SettingsRefused,
		HandlerPanicked, ProcessCrashed, MemoryNearLimit,
		LeaderElected, LeaderLost, LogTruncated, LogCorrupt, SnapshotWritten,
		SnapshotInstalled, StorageFailed, DiskIOFailed, GroupBootstrapped, MembersChanged,
		ShardMoved, ShardCopied, CopyFailed, ExpiryUnproven, StoreCapacity, ShardReformed, ReformExpired, DiskSlow, MembershipInDoubt,
		ElectionStarted, ElectionLost, VoteStored, StoreWriteSlow,
		OrderDecided, ConfigApplied, LeaseLost, LeaseAcquired, PlanApplied, PlanRefused,
		TargetsChanged, LeaderReached, LeaderUnreachable, ZoneOrderDecided, ZonesApplied, ServicesEvacuated, EntryDropped,
		CallOutcomeUnknown, CallQuarantined, SessionExpired, CallCloseFailed,
		RequestRefused, RequestSent, RequestEnded, TurnDurable, BudgetDecided,
		QuarantineEnded, QuarantineFailed, SuspectsChanged, ResponseUnread, IntakeFull, ConnectionsFull,
		TargetFailed, CachedPrefixReleased, ReleaseFailed, HostListFailed, TargetProbed, TargetLimited, TargetFull, PathCut, PathHealed, ConnectionRelayed, RelaysChanged,
		TargetDraining, TargetDrainEnded, TargetUnreachable, TargetReachable, TargetCold, TargetPaced, LoadReportIgnored,
		LinkLost, PeerRefused, FrameRefused, MessageRefused, AcceptFailed, FrameInvalid, MessagePanicked,
	}
}
