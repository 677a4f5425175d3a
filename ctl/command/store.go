package command

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
)

// log returns the tickets of the store that the command line names.
func (r *Root) log() (*ticketlog.Log, error) {
	if len(r.Store) == 0 {
		return nil, oops.Code(exit.Usage).Hint("Set --store or MARIGOLD_STORE to the IP:port of the platform's store.").
			Errorf("the command needs the store")
	}
	return ticketlog.New(store.New(r.Store, nil)), nil
}

// configuration returns the configuration after a ticket; 0 means the newest.
func (r *Root) configuration(ctx context.Context, number uint64) (*directory.Directory, error) {
	l, err := r.log()
	if err != nil {
		return nil, err
	}
	d, err := l.Load(ctx, number)
	if err != nil {
		return nil, explainStore(err)
	}
	return d, nil
}

// before returns the configuration before a ticket number, which is empty
// before ticket 1.
func (r *Root) before(ctx context.Context, number uint64) (*directory.Directory, error) {
	if number <= 1 {
		return directory.Empty(), nil
	}
	return r.configuration(ctx, number-1)
}

// explainStore adds what the operator can do about an error of the store.
func explainStore(err error) error {
	var unavailable *store.Unavailable
	var ambiguous *store.Ambiguous
	var corrupt *ticketlog.CorruptError
	var gap *ticketlog.GapError
	var missing *ticketlog.MissingBaseError
	switch {
	case errors.As(err, &unavailable):
		return oops.Code(exit.Unreachable).
			Hint("Nothing was changed. Entry instances go on with the configuration that they have; run the command again when the store is back.").Wrap(err)
	case errors.As(err, &ambiguous):
		return oops.Code(exit.Unknown).
			Hint("Run `marigoldctl ticket show N` with the number after the last known one before you apply the ticket again.").Wrap(err)
	case errors.As(err, &missing):
		return oops.Code(exit.NotFound).Hint("Check --store: this store holds another history.").Wrap(err)
	case errors.As(err, &corrupt), errors.As(err, &gap):
		return oops.Code(exit.Failure).
			Hint("Entry instances stay at the ticket before it. Compare the store's entry with its backup.").Wrap(err)
	}
	return err
}
