package matrix

// Names of the steps of a request.
const (
	duringHandshake = "opening"
	beforeFirstByte = "arrived"
	queuedAtAgent   = "queued"
	handedOver      = "handed"
	sentToServer    = "sent"
	halfTransferred = "half-back"
	unacknowledged  = "answered"
)

var requestSteps = []Promise{
	{Name: duringHandshake, Text: "Handshake half done: the first flight in two datagrams at two balancers"},
	{Name: beforeFirstByte, Text: "Before the first byte: the request has not come to an agent whole"},
	{Name: queuedAtAgent, Text: "Queued at an agent"},
	{Name: handedOver, Text: "Handed to another agent"},
	{Name: sentToServer, Text: "Sent to the server"},
	{Name: halfTransferred, Text: "Answer half back, or upload half sent"},
	{Name: unacknowledged, Text: "Answered and not acknowledged"},
}

// Reasons why a fault cannot occur at a step.
const (
	noPlatform = "once a document is in force, no step of a request asks the platform"
	noEntry    = "the request is whole at an agent; no balancer takes part until it is answered"
)

// stepCells are the steps of a request under single faults. A cell names a scenario only if the fault
// affected requests at that step when the scenario ran; each run prints their number.
var stepCells = []Cell{
	{Row: duringHandshake, Fault: unevenUpdates, Tests: []string{"flow/table.TestSecondHalfOfFirstFlightFindsItsServer", "flow/table.TestNewFlowIsHandedBack"}},
	{Row: duringHandshake, Fault: serverDrains, Tests: []string{"flow/table.TestLeavingServerPassesNewFlowsOn", "flow/table.TestAllLeavingStillAnswers"}},
	{Row: duringHandshake, Fault: agentOrServerKilled, Tests: []string{"flow/table.TestDeadFormerChoiceIsAskedOnce", "flow/route.TestSilentServerIsPassedOver"}},
	{Row: duringHandshake, Fault: entryJoins, Tests: []string{"flow/table.TestSecondHalfOfFirstFlightFindsItsServer"}},

	{Row: beforeFirstByte, Fault: entryKilled, Scenarios: []string{"entry-killed"}},
	{Row: beforeFirstByte, Fault: oneWayLoss, Tests: []string{"flow/paths.TestUploadLeavesEntryThatNoLongerAnswers"}},
	{Row: beforeFirstByte, Fault: partition, Tests: []string{"flow/paths.TestPartedCallerIsAnsweredByEntriesThatHearIt"}},

	{Row: queuedAtAgent, Fault: serverDrains, Tests: []string{"load/admit.TestDrainHandsOutWhatWaits", "node/gate.TestDrainGivesWaitingBack"}, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: queuedAtAgent, Fault: agentOrServerKilled, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: queuedAtAgent, Fault: unevenUpdates, Scenarios: []string{"entry-frozen+document"}},
	{Row: queuedAtAgent, Fault: partition, Scenarios: []string{"partition"}},
	{Row: queuedAtAgent, Fault: oneWayLoss, Scenarios: []string{"cut-back-from-entry"}},
	{Row: queuedAtAgent, Fault: concurrentChanges, Scenarios: []string{"document-and-drain-at-once"}},
	{Row: queuedAtAgent, Fault: processFrozen, Tests: []string{"load/admit.TestExpireAnswersAtTheLatestStart"}, Scenarios: []string{"agent-frozen", "server-frozen"}},

	{Row: handedOver, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestReceiverRestarted", "work/hand.TestUnreachedPeerLeavesTheBody"}, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: handedOver, Fault: serverDrains, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: handedOver, Fault: concurrentChanges, Scenarios: []string{"document-and-drain-at-once"}},
	{Row: handedOver, Fault: processFrozen, Tests: []string{"work/hand.TestFrozenReceiverWakesAfterTheDeadline"}, Scenarios: []string{"agent-frozen"}},
	{Row: handedOver, Fault: oneWayLoss, Tests: []string{"work/hand.TestLinkLostAtEachStep", "work/hand.TestOldLinkIsReadAfterTheQuestion"}},
	{Row: handedOver, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides", "work/hand.TestHistories"}},
	{Row: handedOver, Fault: unevenUpdates, Tests: []string{"work/hand.TestHopsAreBounded", "work/hand.TestOtherServiceIsRefused"}},

	{Row: sentToServer, Fault: entryKilled, Scenarios: []string{"entry-killed"}},
	{Row: sentToServer, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestServerDiesAfterRunning"}, Scenarios: []string{"server-killed", "server-dies-after-running", "agent-killed"}},
	{Row: sentToServer, Fault: processFrozen, Tests: []string{"node/agent.TestClaimIsNotSentAfterItsDeadline"}, Scenarios: []string{"agent-frozen", "server-frozen", "entry-frozen"}},
	{Row: sentToServer, Fault: unevenUpdates, Scenarios: []string{"entry-frozen+document"}},
	{Row: sentToServer, Fault: serverDrains, Scenarios: []string{"drain-by-server", "drain-by-signal"}},
	{Row: sentToServer, Fault: partition, Scenarios: []string{"partition"}},
	{Row: sentToServer, Fault: oneWayLoss, Scenarios: []string{"cut-back-from-entry"}},
	{Row: sentToServer, Fault: platformDown, Scenarios: []string{"platform-down"}},
	{Row: sentToServer, Fault: concurrentChanges, Scenarios: []string{"document-and-drain-at-once"}},

	{Row: halfTransferred, Fault: entryKilled, Tests: []string{"stand/demo.TestWholePathAsSeparateProcesses"}, Scenarios: []string{"entry-killed", "entries-killed-in-turn"}},
	{Row: halfTransferred, Fault: entryJoins, Scenarios: []string{"entry-joins"}},
	{Row: halfTransferred, Fault: agentOrServerKilled, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: halfTransferred, Fault: serverDrains, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: halfTransferred, Fault: unevenUpdates, Scenarios: []string{"entry-frozen+document"}},
	{Row: halfTransferred, Fault: platformDown, Scenarios: []string{"platform-down"}},
	{Row: halfTransferred, Fault: platformStale, Scenarios: []string{"platform-stale-entry-restarted"}},
	{Row: halfTransferred, Fault: platformRestored, Scenarios: []string{"platform-copy"}},
	{Row: halfTransferred, Fault: processFrozen, Scenarios: []string{"entry-frozen", "agent-frozen", "server-frozen"}},
	{Row: halfTransferred, Fault: partition, Scenarios: []string{"partition"}},
	{Row: halfTransferred, Fault: oneWayLoss, Scenarios: []string{"cut-toward-entry", "cut-back-from-entry"}},
	{Row: halfTransferred, Fault: concurrentChanges, Scenarios: []string{"two-documents-at-once", "document-and-drain-at-once"}},

	{Row: unacknowledged, Fault: entryKilled, Tests: []string{"flow/paths.TestOneWayFeedLeavesDeadEntry"}},
	{Row: unacknowledged, Fault: agentOrServerKilled, Tests: []string{"work/hand.TestOwnerRestarted"}},
	{Row: unacknowledged, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides"}},
	{Row: unacknowledged, Fault: oneWayLoss, Tests: []string{"flow/paths.TestHalfDeadEntryIsLeftByAlternating", "work/hand.TestAgentsRaceForAKey"}},

	{Row: duringHandshake, Fault: platformDown, Impossible: noPlatform},
	{Row: duringHandshake, Fault: platformStale, Impossible: noPlatform},
	{Row: beforeFirstByte, Fault: platformDown, Impossible: noPlatform},
	{Row: beforeFirstByte, Fault: platformStale, Impossible: noPlatform},
	{Row: queuedAtAgent, Fault: platformDown, Impossible: noPlatform},
	{Row: queuedAtAgent, Fault: platformStale, Impossible: noPlatform},
	{Row: handedOver, Fault: platformDown, Impossible: noPlatform},
	{Row: handedOver, Fault: platformStale, Impossible: noPlatform},
	{Row: unacknowledged, Fault: platformDown, Impossible: noPlatform},
	{Row: unacknowledged, Fault: platformStale, Impossible: noPlatform},
	{Row: sentToServer, Fault: platformStale, Impossible: noPlatform},
	{Row: duringHandshake, Fault: platformRestored, Impossible: noPlatform},
	{Row: beforeFirstByte, Fault: platformRestored, Impossible: noPlatform},
	{Row: queuedAtAgent, Fault: platformRestored, Impossible: noPlatform},
	{Row: handedOver, Fault: platformRestored, Impossible: noPlatform},
	{Row: unacknowledged, Fault: platformRestored, Impossible: noPlatform},
	{Row: sentToServer, Fault: platformRestored, Impossible: noPlatform},
	{Row: queuedAtAgent, Fault: entryKilled, Impossible: noEntry},
	{Row: queuedAtAgent, Fault: entryJoins, Impossible: noEntry},
	{Row: handedOver, Fault: entryKilled, Impossible: noEntry},
	{Row: handedOver, Fault: entryJoins, Impossible: noEntry},
	{Row: sentToServer, Fault: entryJoins, Impossible: noEntry},
}
