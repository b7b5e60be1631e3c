package raft

// Fault is a rule that a test can switch off.
type Fault string

// The rules.
const (
	VoteTwice             Fault = "votes twice in a term"
	CommitWithoutMajority Fault = "commits without a majority"
	AnswerBeforeSync      Fault = "answers before the sync"
	ReadWithoutQuorum     Fault = "reads without asking the quorum"
	CommitEarlierTerm     Fault = "commits entries of earlier terms by count"
	VoteForShorterLog     Fault = "votes for a shorter log"
)

// InjectFault switches a rule off; "" leaves all on.
func (n *Node) InjectFault(v Fault) {
	n.faults = injectedFaults{
		voteTwice:             v == VoteTwice,
		commitWithoutMajority: v == CommitWithoutMajority,
		answerBeforeSync:      v == AnswerBeforeSync,
		readWithoutQuorum:     v == ReadWithoutQuorum,
		commitEarlierTerm:     v == CommitEarlierTerm,
		voteForShorterLog:     v == VoteForShorterLog,
	}
}
