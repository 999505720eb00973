package matrix

// Names of promises.
const (
	established = "established"
	isolated    = "isolated"
	whole       = "whole"
	notRun      = "not-run"
	once        = "once"
	leaving     = "leaving"
	planned     = "planned"
	inForce     = "in-force"
)

// Names of faults.
const (
	entryKilled = "entry-killed"
	entryJoins  = "entry-joins"
	serverDies  = "server-dies"
	drains      = "drains"
	uneven      = "uneven"
	down        = "down"
	stale       = "stale"
	copied      = "copied"
	frozen      = "frozen"
	partition   = "partition"
	oneWay      = "one-way"
	racing      = "racing"
)

var promises = []Promise{
	{established, "An established feed or upload survives any planned change to balancers or servers", true},
	{isolated, "No packet or request of one service reaches another", true},
	{whole, "Each caller gets the whole answer to its own request", true},
	{notRun, "What is refused as \"not run\" did not run", true},
	{once, "A request that is not idempotent runs at most once", true},
	{leaving, "A server that is leaving gets no new work after 3 s", false},
	{planned, "A planned stop cuts nothing in progress", false},
	{inForce, "An accepted document is in force everywhere within 7 s and never reverts", false},
}

var kinds = []Fault{
	{entryKilled, "a balancer is killed", []string{"entry-killed", "entries-killed-in-turn", "entry-killed-twice"}},
	{entryJoins, "a balancer joins", []string{"entry-joins"}},
	{serverDies, "an agent or a server is killed", []string{"agent-killed", "server-killed", "server-dies-after-running", "agent-killed-twice"}},
	{drains, "a server drains", []string{"drain-by-document", "drain-by-server", "drain-by-list", "drain-by-signal"}},
	{uneven, "updates reach processes unevenly", []string{"entry-frozen+document"}},
	{down, "the platform is down", []string{"platform-down", "platform-down-entry-restarted"}},
	{stale, "the platform serves an old revision", []string{"platform-stale-entry-restarted"}},
	{copied, "the platform comes back from a copy", []string{"platform-copy"}},
	{frozen, "a process is frozen and woken late", []string{"entry-frozen", "entries-all-frozen", "agent-frozen", "agent-frozen-past-deadline", "server-frozen"}},
	{partition, "callers and entries are parted", []string{"partition"}},
	{oneWay, "loss in one direction", []string{"cut-toward-entry", "cut-back-from-entry", "loss-both-ways"}},
	{racing, "two documents, or a document and a drain, at once", []string{"two-documents-at-once", "document-and-drain-at-once"}},
}

// cells are the promises under single faults. Scenarios that check a promise anyway
// are those of the fault and are not repeated here.
var cells = []Cell{
	{Row: established, Fault: entryKilled, Tests: []string{"flow/paths.TestOneWayFeedLeavesDeadEntry", "stand/demo.TestWholePathAsSeparateProcesses"}},
	{Row: established, Fault: entryJoins, Tests: []string{"flow/ident.TestOpenGivesTheSealedServer"}},
	{Row: established, Fault: drains, Scenarios: []string{"agent-replaced", "agent-succeeded"}},
	{Row: established, Fault: uneven, Tests: []string{"flow/ident.TestRotatedKeyStillRoutes", "flow/route.TestFormerChoiceIsNamed", "flow/table.TestSecondHalfOfFirstFlightFindsItsServer"}},
	{Row: established, Fault: frozen, Tests: []string{"flow/paths.TestPauseLosesNobody"}},
	{Row: established, Fault: partition, Tests: []string{"flow/paths.TestPartedCallerIsAnsweredByEntriesThatHearIt"}},
	{Row: established, Fault: oneWay, Tests: []string{"flow/paths.TestHalfDeadEntryIsLeftByAlternating", "flow/paths.TestUploadLeavesEntryThatNoLongerAnswers", "flow/paths.TestUploadDoesNotTryTheSameEntryTwice"}},

	{Row: isolated, Fault: uneven, Tests: []string{"flow/ident.TestIDOfAnotherServiceDoesNotOpen", "flow/frame.TestFrameOfAnotherServiceIsRefused", "work/hand.TestOtherServiceIsRefused"}, Scenarios: []string{"address-moves+entry-frozen"}},
	{Row: isolated, Fault: racing, Tests: []string{"conf/store.TestDocumentOfAnotherServiceIsRefused"}},

	{Row: whole, Fault: serverDies, Tests: []string{"work/hand.TestLinkLostAtEachStep"}},
	{Row: whole, Fault: partition, Tests: []string{"work/hand.TestHistories"}},

	{Row: notRun, Fault: serverDies, Tests: []string{"work/hand.TestReceiverRestarted", "work/hand.TestLinkLostAtEachStep"}},
	{Row: notRun, Fault: drains, Tests: []string{"work/hand.TestNotRunIsFinal"}},
	{Row: notRun, Fault: frozen, Tests: []string{"work/hand.TestOldLinkIsReadAfterTheQuestion", "work/memo.TestAskedBeforeItArrived"}},
	{Row: notRun, Fault: partition, Tests: []string{"work/hand.TestHistories"}},

	{Row: once, Fault: serverDies, Tests: []string{"work/hand.TestServerDiesAfterRunning", "work/hand.TestOwnerRestarted", "work/token.TestRestartedOwnerWithClockSetBack"}},
	{Row: once, Fault: frozen, Tests: []string{"work/hand.TestFrozenReceiverWakesAfterTheDeadline", "work/memo.TestWokenAfterTheDeadline", "node/agent.TestClaimIsNotSentAfterItsDeadline"}},
	{Row: once, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides", "work/hand.TestHistories"}},

	{Row: leaving, Fault: entryKilled, Scenarios: []string{"entry-killed+server-drains"}},
	{Row: leaving, Fault: entryJoins, Scenarios: []string{"entry-joins+drain"}},
	{Row: leaving, Fault: serverDies, Scenarios: []string{"agent-killed+drain"}},
	{Row: leaving, Fault: drains, Tests: []string{"flow/table.TestLeavingServerPassesNewFlowsOn", "flow/route.TestLeavingServerIsLastChoice", "load/place.TestLeavingAndTriedServersGetNothing", "load/shift.TestLeavingCountsAtOnce", "ctrl/relay.TestListSaysLeave"}, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-list", "drain-by-signal"}},
	{Row: leaving, Fault: uneven, Scenarios: []string{"entry-frozen+document"}},
	{Row: leaving, Fault: down, Scenarios: []string{"platform-down+drain"}},
	{Row: leaving, Fault: stale, Scenarios: []string{"platform-stale+drain"}},
	{Row: leaving, Fault: copied, Scenarios: []string{"platform-copy+drain"}},
	{Row: leaving, Fault: frozen, Scenarios: []string{"entry-frozen+document"}},
	{Row: leaving, Fault: partition, Scenarios: []string{"partition+drain"}},
	{Row: leaving, Fault: oneWay, Scenarios: []string{"cut-back+drain"}},
	{Row: leaving, Fault: racing, Scenarios: []string{"document-and-drain-at-once"}},

	{Row: planned, Fault: entryKilled, Scenarios: []string{"entry-stopped+entry-killed"}},
	{Row: planned, Fault: drains, Tests: []string{"flow/paths.TestLeavingEntryIsNotUsed", "node/agent.TestSuccessorBelievesInOldProcessAtFirst"}, Scenarios: []string{"entry-stopped", "agent-replaced", "drain-by-signal", "all-replaced"}},

	{Row: planned, Fault: entryJoins, Scenarios: []string{"entry-stopped+entry-joins"}},
	{Row: planned, Fault: serverDies, Scenarios: []string{"entry-stopped+agent-killed"}},
	{Row: planned, Fault: uneven, Scenarios: []string{"agent-replaced+documents"}},
	{Row: planned, Fault: down, Scenarios: []string{"agent-replaced+platform-down"}},
	{Row: planned, Fault: stale, Scenarios: []string{"agent-replaced+platform-stale"}},
	{Row: planned, Fault: copied, Scenarios: []string{"agent-replaced+platform-copy"}},
	{Row: planned, Fault: frozen, Scenarios: []string{"entry-stopped+agent-frozen"}},
	{Row: planned, Fault: partition, Scenarios: []string{"entry-stopped+partition"}},
	{Row: planned, Fault: oneWay, Scenarios: []string{"entry-stopped+cut-back"}},
	{Row: planned, Fault: racing, Scenarios: []string{"agent-replaced+documents"}},

	{Row: inForce, Fault: entryKilled, Impossible: "what a balancer had in force dies with it; its successor is a balancer that joins"},
	{Row: inForce, Fault: entryJoins, Scenarios: []string{"entry-joins"}},
	{Row: inForce, Fault: serverDies, Tests: []string{"ctrl/relay.TestManyFailures"}, Scenarios: []string{"agent-killed+drain", "agent-killed+platform-down"}},
	{Row: inForce, Fault: drains, Impossible: "a drain changes no document; a drain by document is an update like any other"},
	{Row: inForce, Fault: uneven, Tests: []string{"conf/store.TestNeverReverts", "ctrl/relay.TestNeverRevertsInFleet", "ctrl/relay.TestChangeReachesAll"}},
	{Row: inForce, Fault: down, Tests: []string{"ctrl/relay.TestPlatformDownAfterOneSawTheChange", "ctrl/relay.TestLongOutage"}, Scenarios: []string{"platform-down-entry-restarted"}},
	{Row: inForce, Fault: stale, Tests: []string{"conf/store.TestNeverReverts", "ctrl/relay.TestRestartWithStalePlatform"}, Scenarios: []string{"platform-stale-entry-restarted", "platform-stale+drain"}},
	{Row: inForce, Fault: copied, Tests: []string{"ctrl/relay.TestDocumentAfterThePlatformCameBackFromACopy", "ctrl/follow.TestChangesAfterThePlatformCameBackFromACopyAreKnown", "ctrl/belief.TestBeliefsOutliveCopies"}, Scenarios: []string{"platform-copy"}},
	{Row: inForce, Fault: frozen, Scenarios: []string{"entry-frozen+document"}},
	{Row: inForce, Fault: partition, Tests: []string{"ctrl/relay.TestPartitionHeals"}, Scenarios: []string{"partition+document"}},
	{Row: inForce, Fault: oneWay, Tests: []string{"ctrl/relay.TestLoss"}, Scenarios: []string{"cut-back+document"}},
	{Row: inForce, Fault: racing, Tests: []string{"conf/store.TestNeverReverts", "conf/store.TestFaultyDocumentLeavesTheLastGoodOne", "ctrl/relay.TestFaultyDocument"}, Scenarios: []string{"two-documents-at-once"}},
}

var pairs = []Cell{
	{Row: "a server's address is given to another service while a balancer is frozen and wakes with the old document", Scenarios: []string{"address-moves+entry-frozen"}},
	{Row: "a balancer is killed while a server drains", Scenarios: []string{"entry-killed+server-drains"}},
	{Row: "a balancer is frozen while a document changes", Scenarios: []string{"entry-frozen+document"}},
	{Row: "an agent is killed while the platform is down", Scenarios: []string{"agent-killed+platform-down"}},
	{Row: "a server drains during a partition of callers and entries", Scenarios: []string{"partition+drain"}},
	{Row: "a server drains while the platform is down", Scenarios: []string{"platform-down+drain"}},
	{Row: "the platform falls back to an old revision after a drain by document", Scenarios: []string{"platform-stale+drain"}},
	{Row: "the platform comes back from a copy after a drain by document", Scenarios: []string{"platform-copy+drain"}},
	{Row: "an agent is killed while its server drains", Scenarios: []string{"agent-killed+drain"}},
	{Row: "a server drains while the way back from a balancer is cut", Scenarios: []string{"cut-back+drain"}},
	{Row: "a balancer joins while a server drains", Scenarios: []string{"entry-joins+drain"}},
	{Row: "a balancer is killed while another makes its planned stop", Scenarios: []string{"entry-stopped+entry-killed"}},
	{Row: "a balancer joins while another makes its planned stop", Scenarios: []string{"entry-stopped+entry-joins"}},
	{Row: "an agent is killed or frozen while a balancer makes its planned stop", Scenarios: []string{"entry-stopped+agent-killed", "entry-stopped+agent-frozen"}},
	{Row: "a balancer makes its planned stop while callers are parted, or the way back from another is cut", Scenarios: []string{"entry-stopped+partition", "entry-stopped+cut-back"}},
	{Row: "an agent is replaced while the platform is down or stale or back from a copy, or documents change", Scenarios: []string{"agent-replaced+platform-down", "agent-replaced+platform-stale", "agent-replaced+platform-copy", "agent-replaced+documents"}},
	{Row: "documents change while callers are parted, or the way back from a balancer is cut", Scenarios: []string{"partition+document", "cut-back+document"}},
	{Row: "two of three balancers are killed at once", Scenarios: []string{"two-entries-killed"}},
	{Row: "every process of a failure domain is killed at once", Scenarios: []string{"domain-lost"}},
	{Row: "balancers and agents are replaced one after the other, at the same time", Scenarios: []string{"all-replaced"}},
	{Row: "first flights flood the service while callers call (memory is bounded as well)", Scenarios: []string{"first-flight-flood"}},
	{Row: "links break, agents restart, the fleet is parted, servers shed and die, in any order (hand-over and request keys)", Tests: []string{"work/hand.TestHistories"}},
}
