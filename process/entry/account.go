package entry

import (
	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// withoutAccountPrefix precedes a customer name that a caller without a key sent and that
// is the name of an account. Otherwise the caller could use up the account's share or read
// the stored responses to its orders. Names of accounts have no colon.
const withoutAccountPrefix = "anonymous:"

func accountTable(c *config.Config) *account.Table {
	accounts := make([]account.Account, 0, len(c.Accounts))
	for name, a := range c.Accounts {
		accounts = append(accounts, account.Account{Name: name, Keys: a.Keys, Rank: a.Rank})
	}
	return account.NewTable(accounts)
}

// admitAccount finds the account of the request and, from that, the customer. It refuses
// the request and reports false when it needs an API key and has none.
func (q *request) admitAccount(public bool) bool {
	decision := q.routing.accounts.Admit(q.callerRequest.Header[q.entry.options.HTTPProfile.AccountKey], public)
	q.account = decision.Account
	q.setCustomer()
	if !decision.Admitted {
		q.refuseByConfig(attempt.ReasonUnauthenticated, decision.Why)
	}
	return decision.Admitted
}
