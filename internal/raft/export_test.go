package raft

// Fault is a rule of the protocol that a test can disable.
type Fault string

// The faults, each described by the resulting violation.
const (
	VoteTwice             Fault = "votes twice in a term"
	CommitWithoutMajority Fault = "commits without a majority"
	AnswerBeforeSync      Fault = "answers before the sync"
	ReadWithoutQuorum     Fault = "reads without asking the quorum"
	CommitEarlierTerm     Fault = "commits entries of earlier terms by counting replicas"
	VoteForShorterLog     Fault = "votes for a shorter log"
)

// InjectFault disables a rule. The empty fault enables all rules.
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
