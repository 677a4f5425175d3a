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

// ticketLog returns the ticket log in the store that --store names.
func (r *Root) ticketLog() (*ticketlog.Log, error) {
	if len(r.Store) == 0 {
		return nil, oops.Code(exit.Usage).Hint("Set --store or MARIGOLD_STORE to the IP:port of the platform's store.").
			Errorf("no store address is given")
	}
	return ticketlog.New(store.New(r.Store, nil)), nil
}

// configuration returns the configuration after the ticket with this number; 0
// means the newest.
func (r *Root) configuration(ctx context.Context, number uint64) (*directory.Directory, error) {
	l, err := r.ticketLog()
	if err != nil {
		return nil, err
	}
	d, err := l.Load(ctx, number)
	if err != nil {
		return nil, explainStoreError(err)
	}
	return d, nil
}

// configurationBefore returns the configuration before the ticket with this
// number. It is empty before ticket 1.
func (r *Root) configurationBefore(ctx context.Context, number uint64) (*directory.Directory, error) {
	if number <= 1 {
		return directory.Empty(), nil
	}
	return r.configuration(ctx, number-1)
}

// explainStoreError adds the exit code and the advice for the operator to an
// error of the store or the ticket log.
func explainStoreError(err error) error {
	var unavailable *store.Unavailable
	var ambiguous *store.Ambiguous
	var corrupt *ticketlog.CorruptError
	var gap *ticketlog.GapError
	var missing *ticketlog.MissingBaseError
	switch {
	case errors.As(err, &unavailable):
		return oops.Code(exit.Unreachable).
			Hint("Nothing was changed. Entry instances keep the configuration that they have; run the command again when the store is available again.").Wrap(err)
	case errors.As(err, &ambiguous):
		return oops.Code(exit.Unknown).
			Hint("Run `marigoldctl ticket show N` with the number after the last known one before you apply the ticket again.").Wrap(err)
	case errors.As(err, &missing):
		return oops.Code(exit.NotFound).Hint("Check --store: this store holds a different history of tickets.").Wrap(err)
	case errors.As(err, &corrupt), errors.As(err, &gap):
		return oops.Code(exit.Failure).
			Hint("Entry instances stay at the last ticket before the damaged or missing one. Compare the store's entry with its backup.").Wrap(err)
	}
	return err
}
