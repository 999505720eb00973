package matrix

const pageHeader = `# Faults

What must always hold, under what fails: which test shows it, or that nothing does. Written from the registry in
` + "`internal/stand/matrix`" + ` by ` + "`standin matrix > docs/FAULTS.md`" + `; a test holds the page against the registry, and the registry
against the tree.

- A name like ` + "`flow/paths.TestX`" + ` is a test under ` + "`internal/`" + `. It decides with time and randomness handed in, and ` + "`scripts/test`" + ` runs it.
- A **run** is a scenario with real processes on loopback, under load, that is broken on purpose; ` + "`scripts/faults`" + ` runs it and compares
  what callers were told with what servers ran. It is a sample: a seed gives the same plan, not the same interleaving. Odd seeds have 30
  callers; even ones have 120, so that requests wait and are handed over. What the last whole run gave is in [MEASURED](MEASURED.md).
`

const pageFooter = `
## What the runs cannot show

- A partition between entries and agents, or between agents: the stand-in for the fabric parts callers from entries only. With agents
  parted it is shown for hand-over and request keys by ` + "`work/hand.TestHistories`" + `, with fakes.
- Clocks that are apart: all processes of a run share one clock.
- Three faults together, but for the loss of a failure domain.
`
