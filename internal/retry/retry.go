// Package retry decides whether a failed attempt of a request is made again,
// when, and whether on another endpoint.
//
// It is a pure state machine: the present time is an argument and the random
// source is passed in.
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
	// MaxAttempts bounds how often a request is run, the first time included.
	MaxAttempts int
	// BaseDelay is the longest delay before the second attempt; it doubles
	// with each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// BudgetFraction is how many retries each request earns its account.
	BudgetFraction float64
	// BudgetBurst is how many retries an account can save up.
	BudgetBurst float64
	// MaxAccounts bounds the accounts that are remembered.
	MaxAccounts int
	// Random is the source of the jitter. Required.
	Random *rand.Rand
}

// Defaults fills the fields that are unset, but for Random.
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
	// Account is the client account that pays for a retry.
	Account string
	// Idempotent says that the request may be run again.
	Idempotent bool
	// MayHaveRun is false only when the request surely did not run.
	MayHaveRun bool
	// BytesForwarded is how much of the answer the caller has received.
	BytesForwarded int64
	// CanResume says that the endpoint still lives and can go on with the
	// same answer.
	CanResume bool
	// Attempts counts the attempts made so far, this one included.
	Attempts int
	// MaxAttempts overrides that of the Config when it is not 0.
	MaxAttempts int
	// Deadline is when the caller's time is over; zero for none.
	Deadline time.Time
}

// Reason says why an attempt is made again or not.
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

// Decision is what to do after a failed attempt.
type Decision struct {
	// Retry says that the request is run again or resumed.
	Retry bool
	// Resume says that only the rest of the same answer may be asked for, at
	// the same endpoint. Set only together with Retry.
	Resume bool
	// Delay is the delay before the next attempt.
	Delay time.Duration
	// ExcludeEndpoint says that the next attempt goes to another endpoint.
	ExcludeEndpoint bool
	Reason          Reason
}

// Policy decides on retries, within a budget for each client account. It is
// not safe for concurrent use.
type Policy struct {
	config Config
	// budgets holds the retries that each account has saved up, each from 0
	// to config.BudgetBurst. An account without an entry has the full burst.
	budgets map[string]float64
}

// New returns a Policy in which each account starts with a full budget.
func New(config Config) *Policy {
	config.Defaults()
	return &Policy{config: config, budgets: make(map[string]float64)}
}

// RecordRequest counts a first attempt, which earns its account a part of a retry.
func (p *Policy) RecordRequest(account string) {
	budget, limited := p.budgets[account]
	if !limited {
		return
	}
	budget += p.config.BudgetFraction
	if budget >= p.config.BudgetBurst {
		delete(p.budgets, account)
		return
	}
	p.budgets[account] = budget
}

// Budget returns how many retries the account has saved up.
func (p *Policy) Budget(account string) float64 {
	if budget, limited := p.budgets[account]; limited {
		return budget
	}
	return p.config.BudgetBurst
}

// SetBudget changes how many retries each request earns, and how many can be
// saved up.
func (p *Policy) SetBudget(fraction, burst float64) {
	p.config.BudgetFraction, p.config.BudgetBurst = fraction, burst
	for account, budget := range p.budgets {
		if budget >= burst {
			delete(p.budgets, account)
		}
	}
}

// Spend charges one retry to the budget, and returns false when none is left.
func (p *Policy) Spend(account string) bool { return p.charge(account) == "" }

// Decide says what to do after a failed attempt. A retry that it allows is
// charged to the account's budget, unless the attempt surely did not run: it
// cost no endpoint anything.
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

// classify says whether running the request again could do harm.
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

// delay draws from the upper half of an exponentially growing range, so that
// requests which failed together do not come back together.
func (p *Policy) delay(attempts int) time.Duration {
	longest := p.config.BaseDelay
	for range attempts - 1 {
		longest = min(longest*2, p.config.MaxDelay)
	}
	half := longest / 2
	return half + time.Duration(p.config.Random.Int64N(int64(half)+1))
}

// charge takes one retry from the account's budget, or says why not.
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
