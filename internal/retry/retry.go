// Package retry decides whether a failed attempt of a request is retried, after
// which delay, and whether on another endpoint.
//
// It does no I/O and reads no clock: the current time is an argument and the
// random source is passed in.
package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	defaultMaxAttempts    = 3
	defaultBaseDelay      = 50 * time.Millisecond
	defaultMaxDelay       = 2 * time.Second
	defaultBudgetFraction = 0.2
	defaultBudgetBurst    = 10
	defaultMaxAccounts    = 10_000
)

// Config sets the limits of a Policy. Zero fields take their defaults.
type Config struct {
	// MaxAttempts bounds the attempts of a request, including the first.
	MaxAttempts int
	// BaseDelay is the maximum delay before the second attempt. It doubles with
	// each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// BudgetFraction is the number of retries that each request adds to its
	// account's budget.
	BudgetFraction float64
	// BudgetBurst is the maximum budget of an account, in retries, with which it starts. If
	// it is below 1, requests may add to it up to one retry: many daemons that divide a
	// budget may have less than one each.
	BudgetBurst float64
	// MaxAccounts bounds the number of accounts with a recorded budget.
	MaxAccounts int
	// Random is the source of the jitter. Required.
	Random *rand.Rand
}

// Defaults sets the unset fields except Random to their defaults.
func (c *Config) Defaults() {
	setDefault(&c.MaxAttempts, defaultMaxAttempts)
	setDefault(&c.BaseDelay, defaultBaseDelay)
	setDefault(&c.MaxDelay, defaultMaxDelay)
	setDefault(&c.BudgetFraction, defaultBudgetFraction)
	setDefault(&c.BudgetBurst, defaultBudgetBurst)
	setDefault(&c.MaxAccounts, defaultMaxAccounts)
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Attempt describes an attempt that failed.
type Attempt struct {
	// Account is the client account whose budget a retry is charged to.
	Account string
	// Idempotent is set when the request may safely run more than once.
	Idempotent bool
	// MayHaveRun is false only when it is certain that the request did not run.
	MayHaveRun bool
	// BytesForwarded is the size of the answer already sent to the caller.
	BytesForwarded int64
	// CanResume is set when the endpoint is still alive and can continue the
	// same answer.
	CanResume bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// MaxAttempts overrides Config.MaxAttempts when it is not 0.
	MaxAttempts int
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
}

// Reason is the reason why an attempt is retried or not.
type Reason string

// The reasons.
const (
	ReasonNotRun          Reason = "not_run"
	ReasonIdempotent      Reason = "idempotent"
	ReasonResume          Reason = "resume"
	ReasonMayHaveRun      Reason = "not_idempotent_and_may_have_run"
	ReasonPartlyForwarded Reason = "answer_partly_passed"
	ReasonAttemptsUsedUp  Reason = "attempts_used_up"
	ReasonPastDeadline    Reason = "past_deadline"
	ReasonBudgetUsedUp    Reason = "retry_budget_used_up"
	ReasonTooManyAccounts Reason = "too_many_accounts"
)

// Decision is the result of Decide.
type Decision struct {
	// Retry is set when the request is run again or resumed.
	Retry bool
	// Resume is set when only the rest of the same answer may be requested, from
	// the same endpoint. It is set only together with Retry.
	Resume bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// ExcludeEndpoint is set when the next attempt must go to another endpoint.
	ExcludeEndpoint bool
	Reason          Reason
}

// Policy decides on retries, within a budget for each client account. It is
// not safe for concurrent use.
type Policy struct {
	config Config
	// budgets holds the retries that each account has left, from 0 to maxBudget. An account
	// without an entry has config.BudgetBurst.
	budgets map[string]float64
}

// New returns a Policy in which each account starts with a full budget.
func New(config Config) *Policy {
	config.Defaults()
	return &Policy{config: config, budgets: make(map[string]float64)}
}

// RecordRequest counts a first attempt, which adds Config.BudgetFraction to the
// account's budget.
func (p *Policy) RecordRequest(account string) { p.add(account, p.config.BudgetFraction) }

// add adds retries to the account's budget.
func (p *Policy) add(account string, retries float64) {
	_, limited := p.budgets[account]
	if !limited && (p.config.BudgetBurst >= 1 || len(p.budgets) >= p.config.MaxAccounts) {
		return
	}
	budget := p.Budget(account) + retries
	if p.config.BudgetBurst >= 1 && budget >= p.config.BudgetBurst {
		delete(p.budgets, account)
		return
	}
	p.budgets[account] = min(budget, p.maxBudget())
}

// maxBudget returns the maximum budget of an account.
func (p *Policy) maxBudget() float64 { return max(p.config.BudgetBurst, 1) }

// Budget returns the account's budget, in retries.
func (p *Policy) Budget(account string) float64 {
	if budget, limited := p.budgets[account]; limited {
		return budget
	}
	return p.config.BudgetBurst
}

// SetBudget changes Config.BudgetFraction and Config.BudgetBurst.
func (p *Policy) SetBudget(fraction, burst float64) {
	p.config.BudgetFraction, p.config.BudgetBurst = fraction, burst
	for account, budget := range p.budgets {
		if budget >= p.maxBudget() {
			delete(p.budgets, account)
		}
	}
}

// Spend charges one retry to the account's budget and reports whether that was
// possible.
func (p *Policy) Spend(account string) bool { return p.charge(account) == "" }

// Refund returns a retry to the account's budget that was charged and not made.
func (p *Policy) Refund(account string) { p.add(account, 1) }

// Decide returns what to do after a failed attempt. A retry is charged to the
// account's budget, unless it is certain that the attempt did not run: such an
// attempt used no endpoint capacity.
func (p *Policy) Decide(now time.Time, attempt Attempt) Decision {
	decision := classify(attempt)
	if !decision.Retry {
		return decision
	}
	if attempt.Attempts >= p.maxAttempts(attempt) {
		return Decision{Reason: ReasonAttemptsUsedUp}
	}
	decision.Delay = p.delay(attempt.Attempts)
	if !attempt.Deadline.IsZero() && !now.Add(decision.Delay).Before(attempt.Deadline) {
		return Decision{Reason: ReasonPastDeadline}
	}
	if attempt.MayHaveRun {
		if reason := p.charge(attempt.Account); reason != "" {
			return Decision{Reason: reason}
		}
	}
	return decision
}

// classify decides whether running the request again is safe.
func classify(attempt Attempt) Decision {
	switch {
	case attempt.CanResume && attempt.MayHaveRun:
		return Decision{Retry: true, Resume: true, Reason: ReasonResume}
	case attempt.BytesForwarded > 0:
		return Decision{Reason: ReasonPartlyForwarded}
	case !attempt.MayHaveRun:
		return Decision{Retry: true, ExcludeEndpoint: true, Reason: ReasonNotRun}
	case !attempt.Idempotent:
		return Decision{Reason: ReasonMayHaveRun}
	}
	return Decision{Retry: true, ExcludeEndpoint: true, Reason: ReasonIdempotent}
}

func (p *Policy) maxAttempts(attempt Attempt) int {
	if attempt.MaxAttempts > 0 {
		return attempt.MaxAttempts
	}
	return p.config.MaxAttempts
}

// delay draws a random delay from the upper half of an exponentially growing
// range, so that requests that failed at the same time are not retried at the
// same time.
func (p *Policy) delay(attempts int) time.Duration {
	longest := p.config.BaseDelay
	for range attempts - 1 {
		longest = min(longest*2, p.config.MaxDelay)
	}
	half := longest / 2
	return half + time.Duration(p.config.Random.Int64N(int64(half)+1))
}

// charge takes one retry from the account's budget. It returns the reason if it
// can't, or "".
func (p *Policy) charge(account string) Reason {
	budget, limited := p.budgets[account]
	if !limited {
		if len(p.budgets) >= p.config.MaxAccounts {
			return ReasonTooManyAccounts
		}
		budget = p.config.BudgetBurst
	}
	if budget < 1 {
		return ReasonBudgetUsedUp
	}
	p.budgets[account] = budget - 1
	return ""
}
