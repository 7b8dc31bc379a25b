package ownership_test

import "fmt"

type tally struct{ cases, commits, moves, groups, takeovers, finishGroups, dispatchSwitch, effects, ownedAtStart int }

var total tally

func (t tally) String() string {
	return fmt.Sprint(t.cases, " cases; commits ", t.commits, " moves ", t.moves, " groups ", t.groups, " takeovers ", t.takeovers, " finished ", t.finishGroups, " effects ", t.effects, " owned at start ", t.ownedAtStart)
}
