package matrix

// Names of steps.
const (
	halfOpen = "opening"
	arrived  = "arrived"
	queued   = "queued"
	handed   = "handed"
	sent     = "sent"
	halfBack = "half-back"
	answered = "answered"
)

var stepNames = []Promise{
	{Name: halfOpen, Text: "Handshake half done: the first flight in two datagrams at two balancers"},
	{Name: arrived, Text: "Before the first byte: the request has not come to an agent whole"},
	{Name: queued, Text: "Queued at an agent"},
	{Name: handed, Text: "Handed to another agent"},
	{Name: sent, Text: "Sent to the server"},
	{Name: halfBack, Text: "Answer half back, or upload half sent"},
	{Name: answered, Text: "Answered and not acknowledged"},
}

// Reasons why a fault cannot come at a step.
const (
	noPlatform = "once a document is in force, no step of a request asks the platform"
	noEntry    = "the request is whole at an agent; no balancer takes part until it is answered"
)

// steps are the steps of a request under single faults. A run is named for a step
// only if requests at that step were caught in it; the runs print how many.
var steps = []Cell{
	{Row: halfOpen, Fault: uneven, Tests: []string{"flow/table.TestSecondHalfOfFirstFlightFindsItsServer", "flow/table.TestNewFlowIsHandedBack"}},
	{Row: halfOpen, Fault: drains, Tests: []string{"flow/table.TestLeavingServerPassesNewFlowsOn", "flow/table.TestAllLeavingStillAnswers"}},
	{Row: halfOpen, Fault: serverDies, Tests: []string{"flow/table.TestDeadFormerChoiceIsAskedOnce", "flow/route.TestSilentServerIsPassedOver"}},
	{Row: halfOpen, Fault: entryJoins, Tests: []string{"flow/table.TestSecondHalfOfFirstFlightFindsItsServer"}},

	{Row: arrived, Fault: entryKilled, Scenarios: []string{"entry-killed"}},
	{Row: arrived, Fault: oneWay, Tests: []string{"flow/paths.TestUploadLeavesEntryThatNoLongerAnswers"}},
	{Row: arrived, Fault: partition, Tests: []string{"flow/paths.TestPartedCallerIsAnsweredByEntriesThatHearIt"}},

	{Row: queued, Fault: drains, Tests: []string{"load/admit.TestDrainHandsOutWhatWaits", "node/gate.TestDrainGivesWaitingBack"}, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: queued, Fault: serverDies, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: queued, Fault: uneven, Scenarios: []string{"entry-frozen+document"}},
	{Row: queued, Fault: partition, Scenarios: []string{"partition"}},
	{Row: queued, Fault: oneWay, Scenarios: []string{"cut-back-from-entry"}},
	{Row: queued, Fault: racing, Scenarios: []string{"document-and-drain-at-once"}},
	{Row: queued, Fault: frozen, Tests: []string{"load/admit.TestExpireAnswersAtTheLatestStart"}, Scenarios: []string{"agent-frozen", "server-frozen"}},

	{Row: handed, Fault: serverDies, Tests: []string{"work/hand.TestReceiverRestarted", "work/hand.TestUnreachedPeerLeavesTheBody"}, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: handed, Fault: drains, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: handed, Fault: racing, Scenarios: []string{"document-and-drain-at-once"}},
	{Row: handed, Fault: frozen, Tests: []string{"work/hand.TestFrozenReceiverWakesAfterTheDeadline"}, Scenarios: []string{"agent-frozen"}},
	{Row: handed, Fault: oneWay, Tests: []string{"work/hand.TestLinkLostAtEachStep", "work/hand.TestOldLinkIsReadAfterTheQuestion"}},
	{Row: handed, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides", "work/hand.TestHistories"}},
	{Row: handed, Fault: uneven, Tests: []string{"work/hand.TestHopsAreBounded", "work/hand.TestOtherServiceIsRefused"}},

	{Row: sent, Fault: entryKilled, Scenarios: []string{"entry-killed"}},
	{Row: sent, Fault: serverDies, Tests: []string{"work/hand.TestServerDiesAfterRunning"}, Scenarios: []string{"server-killed", "server-dies-after-running", "agent-killed"}},
	{Row: sent, Fault: frozen, Tests: []string{"node/agent.TestClaimIsNotSentAfterItsDeadline"}, Scenarios: []string{"agent-frozen", "server-frozen", "entry-frozen"}},
	{Row: sent, Fault: uneven, Scenarios: []string{"entry-frozen+document"}},
	{Row: sent, Fault: drains, Scenarios: []string{"drain-by-server", "drain-by-signal"}},
	{Row: sent, Fault: partition, Scenarios: []string{"partition"}},
	{Row: sent, Fault: oneWay, Scenarios: []string{"cut-back-from-entry"}},
	{Row: sent, Fault: down, Scenarios: []string{"platform-down"}},
	{Row: sent, Fault: racing, Scenarios: []string{"document-and-drain-at-once"}},

	{Row: halfBack, Fault: entryKilled, Tests: []string{"stand/demo.TestWholePathAsSeparateProcesses"}, Scenarios: []string{"entry-killed", "entries-killed-in-turn"}},
	{Row: halfBack, Fault: entryJoins, Scenarios: []string{"entry-joins"}},
	{Row: halfBack, Fault: serverDies, Scenarios: []string{"agent-killed", "server-killed"}},
	{Row: halfBack, Fault: drains, Scenarios: []string{"drain-by-document", "drain-by-server", "drain-by-signal"}},
	{Row: halfBack, Fault: uneven, Scenarios: []string{"entry-frozen+document"}},
	{Row: halfBack, Fault: down, Scenarios: []string{"platform-down"}},
	{Row: halfBack, Fault: stale, Scenarios: []string{"platform-stale-entry-restarted"}},
	{Row: halfBack, Fault: copied, Scenarios: []string{"platform-copy"}},
	{Row: halfBack, Fault: frozen, Scenarios: []string{"entry-frozen", "agent-frozen", "server-frozen"}},
	{Row: halfBack, Fault: partition, Scenarios: []string{"partition"}},
	{Row: halfBack, Fault: oneWay, Scenarios: []string{"cut-toward-entry", "cut-back-from-entry"}},
	{Row: halfBack, Fault: racing, Scenarios: []string{"two-documents-at-once", "document-and-drain-at-once"}},

	{Row: answered, Fault: entryKilled, Tests: []string{"flow/paths.TestOneWayFeedLeavesDeadEntry"}},
	{Row: answered, Fault: serverDies, Tests: []string{"work/hand.TestOwnerRestarted"}},
	{Row: answered, Fault: partition, Tests: []string{"work/hand.TestPartitionAndCallerChangesSides"}},
	{Row: answered, Fault: oneWay, Tests: []string{"flow/paths.TestHalfDeadEntryIsLeftByAlternating", "work/hand.TestAgentsRaceForAKey"}},

	{Row: halfOpen, Fault: down, Impossible: noPlatform},
	{Row: halfOpen, Fault: stale, Impossible: noPlatform},
	{Row: arrived, Fault: down, Impossible: noPlatform},
	{Row: arrived, Fault: stale, Impossible: noPlatform},
	{Row: queued, Fault: down, Impossible: noPlatform},
	{Row: queued, Fault: stale, Impossible: noPlatform},
	{Row: handed, Fault: down, Impossible: noPlatform},
	{Row: handed, Fault: stale, Impossible: noPlatform},
	{Row: answered, Fault: down, Impossible: noPlatform},
	{Row: answered, Fault: stale, Impossible: noPlatform},
	{Row: sent, Fault: stale, Impossible: noPlatform},
	{Row: halfOpen, Fault: copied, Impossible: noPlatform},
	{Row: arrived, Fault: copied, Impossible: noPlatform},
	{Row: queued, Fault: copied, Impossible: noPlatform},
	{Row: handed, Fault: copied, Impossible: noPlatform},
	{Row: answered, Fault: copied, Impossible: noPlatform},
	{Row: sent, Fault: copied, Impossible: noPlatform},
	{Row: queued, Fault: entryKilled, Impossible: noEntry},
	{Row: queued, Fault: entryJoins, Impossible: noEntry},
	{Row: handed, Fault: entryKilled, Impossible: noEntry},
	{Row: handed, Fault: entryJoins, Impossible: noEntry},
	{Row: sent, Fault: entryJoins, Impossible: noEntry},
}
