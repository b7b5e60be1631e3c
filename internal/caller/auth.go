package caller

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
)

// authenticate returns the client account of the request's bearer key.
func authenticate(b *bundle.Bundle, r *http.Request) (*bundle.ClientAccount, *router.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, refusal(router.CodeUnauthorized, "send the API key of the client account in the header Authorization: Bearer KEY")
	}
	account, ok := b.AccountByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return nil, refusal(router.CodeUnauthorized, "the key belongs to no client account")
	}
	return account, nil
}

// refusal returns an error for a request that did not run and that a retry
// would not help.
func refusal(code router.Code, format string, args ...any) *router.Error {
	return router.NewError(code, router.OutcomeNotRun, 0, format, args...)
}

// mayAccess reports whether the account may use the service.
func mayAccess(account *bundle.ClientAccount, service string) bool {
	for _, name := range account.Services {
		if name == service {
			return true
		}
	}
	return false
}
