package matrix

// Names of promises.
const (
	establishedFlow  = "established"
	serviceIsolation = "isolated"
	completeResponse = "whole"
	refusedNotRun    = "not-run"
	atMostOnce       = "once"
	leavingServer    = "leaving"
	plannedStop      = "planned"
	documentInForce  = "in-force"
)

// Names of faults.
const (
	entryKilled         = "entry-killed"
	entryJoins          = "entry-joins"
	agentOrServerKilled = "server-dies"
	serverDrains        = "drains"
	unevenUpdates       = "uneven"
	platformDown        = "down"
	platformStale       = "stale"
	platformRestored    = "copied"
	processFrozen       = "frozen"
	partition           = "partition"
	oneWayLoss          = "one-way"
	concurrentChanges   = "racing"
)

var promises = []Promise{
	{establishedFlow, "An established feed or upload survives any planned change to balancers or servers", true},
	{serviceIsolation, "No packet or request of one service reaches another", true},
	{completeResponse, "Each caller gets the whole answer to its own request", true},
	{refusedNotRun, "What is refused as \"not run\" did not run", true},
	{atMostOnce, "A request that is not idempotent runs at most once", true},
	{leavingServer, "A server that is leaving gets no new work after 3 s", false},
	{plannedStop, "A planned stop cuts nothing in progress", false},
	{documentInForce, "An accepted document is in force everywhere within 7 s and never reverts", false},
}

var faultKinds = []Fault{
	{entryKilled, "a balancer is killed", []string{"entry-killed", "entries-killed-in-turn", "entry-killed-twice"}},
	{entryJoins, "a balancer joins", []string{"entry-joins"}},
	{agentOrServerKilled, "an agent or a server is killed", []string{"agent-killed", "server-killed", "server-dies-after-running", "agent-killed-twice"}},
	{serverDrains, "a server drains", []string{"drain-by-document", "drain-by-server", "drain-by-list", "drain-by-signal"}},
	{unevenUpdates, "updates reach processes unevenly", []string{"entry-frozen+document"}},
	{platformDown, "the platform is down", []string{"platform-down", "platform-down-entry-restarted"}},
	{platformStale, "the platform serves an old revision", []string{"platform-stale-entry-restarted"}},
	{platformRestored, "the platform comes back from a copy", []string{"platform-copy"}},
	{processFrozen, "a process is frozen and woken late", []string{"entry-frozen", "entries-all-frozen", "agent-frozen", "agent-frozen-past-deadline", "server-frozen"}},
	{partition, "callers and entries are parted", []string{"partition"}},
	{oneWayLoss, "loss in one direction", []string{"cut-toward-entry", "cut-back-from-entry", "loss-both-ways"}},
	{concurrentChanges, "two documents, or a document and a drain, at once", []string{"two-documents-at-once", "document-and-drain-at-once"}},
}

// promiseCells are the promises under single faults. For a promise that is checked in all scenarios, findCell
// adds the fault's scenarios, so they are not repeated here.
var promiseCells = []Cell{
	{Row: establishedFlow, Fault: entryKilled, Tests: []string{"flow/paths.TestOneWayFeedLeavesDeadEntry", "stand/demo.TestWholePathAsSeparateProcesses"}},
	{Row: establishedFlow, Fault: entryJoins, Tests: []string{"flow/ident.TestOpenGivesTheSealedServer"}},
	{Row: establishedFlow, Fault: serverDrains, Scenarios: []string{"agent-replaced", "agent-succeeded"}},
	{Row: establishedFlow, Fault: unevenUpdates, Tests: []string{"flow/ident.TestRotatedKeyStillRoutes", "flow/route.TestFormerChoiceIsNamed", "flow/table.TestSecondHalfOfFirstFlightFindsItsServer"}},
	{Row: establishedFlow, Fault: processFrozen, Tests: []string{"flow/paths.TestPauseLosesNobody"}},
	{Row: establishedFlow, Fault: partition, Tests: []string{"flow/paths.TestPartedCallerIsAnsweredByEntriesThatHearIt"}},
	{Row: establishedFlow, Fault: oneWayLoss, Tests: []string{"flow/paths.TestHalfDeadEntryIsLeftByAlternating", "flow/paths.TestUploadLeavesEntryThatNoLongerAnswers", "flow/paths.TestUploadDoesNotTryTheSameEntryTwice"}},

	{Row: serviceIsolation, Fault: unevenUpdates, Tests: []string{"flow/ident.TestIDOfAnotherServiceDoesNotOpen", "flow/frame.TestFrameOfAnotherServiceIsRefused", "work/hand.TestOtherServiceIsRefused", "node/local.TestServerIsConfirmedAfterItsStart"}, Scenarios: []string{"address-moves+entry-frozen"}},
	{Row: serviceIsolation, Fault: concurrentChanges, Tests: []string{"conf/store.TestDocumentOfAnotherServiceIsRefused"}},

	{Row: completeResponse, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestLinkLostAtEachStep"}},
	{Row: completeResponse, Fault: partition, Tests: []string{"work/hand.TestHistories"}},

	{Row: refusedNotRun, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestReceiverRestarted", "work/hand.TestLinkLostAtEachStep"}},
	{Row: refusedNotRun, Fault: serverDrains, Tests: []string{"work/hand.TestNotRunIsFinal"}},
	{Row: refusedNotRun, Fault: processFrozen, Tests: []string{"work/hand.TestOldLinkIsReadAfterTheQuestion", "work/memo.TestAskedBeforeItArrived"}},
	{Row: refusedNotRun, Fault: partition, Tests: []string{"work/hand.TestHistories"}},

	{Row: atMostOnce, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestServerDiesAfterRunning", "work/hand.TestOwnerRestarted", "work/token.TestRestartedOwnerWithClockSetBack"}},
	{Row: atMostOnce, Fault: processFrozen, Tests: []string{"work/hand.TestFrozenReceiverWakesAfterTheDeadline", "work/memo.TestWokenAfterTheDeadline", "node/agent.TestClaimIsNotSentAfterItsDeadline"}},
	{Row: atMostOnce, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides", "work/hand.TestHistories"}},

	{Row: leavingServer, Fault: entryKilled, Scenarios: []string{"entry-killed+server-drains"}},
	{Row: leavingServer, Fault: entryJoins, Scenarios: []string{"entry-joins+drain"}},
	{Row: leavingServer, Fault: agentOrServerKilled, Scenarios: []string{"agent-killed+drain"}},
	{Row: leavingServer, Fault: serverDrains, Tests: []string{"flow/table.TestLeavingServerPassesNewFlowsOn", "flow/route.TestLeavingServerIsLastChoice", "load/place.TestLeavingAndTriedServersGetNothing", "load/shift.TestLeavingCountsAtOnce", "ctrl/relay.TestListSaysLeave"}, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-list", "drain-by-signal"}},
	{Row: leavingServer, Fault: unevenUpdates, Scenarios: []string{"entry-frozen+document"}},
	{Row: leavingServer, Fault: platformDown, Scenarios: []string{"platform-down+drain"}},
	{Row: leavingServer, Fault: platformStale, Scenarios: []string{"platform-stale+drain"}},
	{Row: leavingServer, Fault: platformRestored, Scenarios: []string{"platform-copy+drain"}},
	{Row: leavingServer, Fault: processFrozen, Scenarios: []string{"entry-frozen+document"}},
	{Row: leavingServer, Fault: partition, Scenarios: []string{"partition+drain"}},
	{Row: leavingServer, Fault: oneWayLoss, Scenarios: []string{"cut-back+drain"}},
	{Row: leavingServer, Fault: concurrentChanges, Scenarios: []string{"document-and-drain-at-once"}},

	{Row: plannedStop, Fault: entryKilled, Scenarios: []string{"entry-stopped+entry-killed"}},
	{Row: plannedStop, Fault: serverDrains, Tests: []string{"flow/paths.TestLeavingEntryIsNotUsed", "node/agent.TestSuccessorBelievesInOldProcessAtFirst"}, Scenarios: []string{"entry-stopped", "agent-replaced", "drain-by-signal", "all-replaced"}},

	{Row: plannedStop, Fault: entryJoins, Scenarios: []string{"entry-stopped+entry-joins"}},
	{Row: plannedStop, Fault: agentOrServerKilled, Scenarios: []string{"entry-stopped+agent-killed"}},
	{Row: plannedStop, Fault: unevenUpdates, Scenarios: []string{"agent-replaced+documents"}},
	{Row: plannedStop, Fault: platformDown, Scenarios: []string{"agent-replaced+platform-down"}},
	{Row: plannedStop, Fault: platformStale, Scenarios: []string{"agent-replaced+platform-stale"}},
	{Row: plannedStop, Fault: platformRestored, Scenarios: []string{"agent-replaced+platform-copy"}},
	{Row: plannedStop, Fault: processFrozen, Scenarios: []string{"entry-stopped+agent-frozen"}},
	{Row: plannedStop, Fault: partition, Scenarios: []string{"entry-stopped+partition"}},
	{Row: plannedStop, Fault: oneWayLoss, Scenarios: []string{"entry-stopped+cut-back"}},
	{Row: plannedStop, Fault: concurrentChanges, Scenarios: []string{"agent-replaced+documents"}},

	{Row: documentInForce, Fault: entryKilled, Impossible: "what a balancer had in force dies with it; its successor is a balancer that joins"},
	{Row: documentInForce, Fault: entryJoins, Scenarios: []string{"entry-joins"}},
	{Row: documentInForce, Fault: agentOrServerKilled, Tests: []string{"ctrl/relay.TestManyFailures"}, Scenarios: []string{"agent-killed+drain", "agent-killed+platform-down"}},
	{Row: documentInForce, Fault: serverDrains, Impossible: "a drain changes no document; a drain by document is an update like any other"},
	{Row: documentInForce, Fault: unevenUpdates, Tests: []string{"conf/store.TestNeverReverts", "ctrl/relay.TestNeverRevertsInFleet", "ctrl/relay.TestChangeReachesAll"}},
	{Row: documentInForce, Fault: platformDown, Tests: []string{"ctrl/relay.TestPlatformDownAfterOneSawTheChange", "ctrl/relay.TestLongOutage"}, Scenarios: []string{"platform-down-entry-restarted"}},
	{Row: documentInForce, Fault: platformStale, Tests: []string{"conf/store.TestNeverReverts", "ctrl/relay.TestRestartWithStalePlatform"}, Scenarios: []string{"platform-stale-entry-restarted", "platform-stale+drain"}},
	{Row: documentInForce, Fault: platformRestored, Tests: []string{"ctrl/relay.TestDocumentAfterThePlatformCameBackFromACopy", "ctrl/follow.TestChangesAfterThePlatformCameBackFromACopyAreKnown", "ctrl/belief.TestBeliefsOutliveCopies"}, Scenarios: []string{"platform-copy"}},
	{Row: documentInForce, Fault: processFrozen, Scenarios: []string{"entry-frozen+document"}},
	{Row: documentInForce, Fault: partition, Tests: []string{"ctrl/relay.TestPartitionHeals"}, Scenarios: []string{"partition+document"}},
	{Row: documentInForce, Fault: oneWayLoss, Tests: []string{"ctrl/relay.TestLoss"}, Scenarios: []string{"cut-back+document"}},
	{Row: documentInForce, Fault: concurrentChanges, Tests: []string{"conf/store.TestNeverReverts", "conf/store.TestFaultyDocumentLeavesTheLastGoodOne", "ctrl/relay.TestFaultyDocument"}, Scenarios: []string{"two-documents-at-once"}},
}

// faultPairs are the pairs of faults. Row is the text of the pair, and Fault is empty.
var faultPairs = []Cell{
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
