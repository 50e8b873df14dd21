package transaction

import "olivedale/internal/codec/h248"

// RunActions executes the commands of a transaction until the first failure and returns the actions of the reply. The
// function run executes one command and returns the command of the reply, or an error.
func RunActions(
	actions []*h248.Action, run func(*h248.Action, *h248.Command) (*h248.Command, *h248.Error),
) (replies []*h248.Action) {
	for _, a := range actions {
		reply := &h248.Action{Context: a.Context}
		replies = append(replies, reply)
		for _, c := range a.Commands {
			done, err := run(a, c)
			if err != nil {
				reply.Err = err
				return replies
			}
			reply.Commands = append(reply.Commands, done)
		}
	}
	return replies
}
