package command

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/burn"
)

// Formats of the report on service-level burn.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

func (o *options) runHistory(ctx context.Context, out output) (int, error) {
	var h admin.History
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		h, err = c.History(ctx, knapweedpulley.CustomerID(o.customer))
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printHistory(h)
	return ExitDone, nil
}

func (o *options) runCustomers(ctx context.Context, out output) (int, error) {
	var l admin.CustomerList
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		l, err = c.Customers(ctx)
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printCustomers(l)
	return ExitDone, nil
}

// runStatus prints the versions in force at each entry. It returns ExitPending if they are not the
// same at all entries.
func (o *options) runStatus(ctx context.Context, out output) (int, error) {
	var s admin.Status
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		s, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printStatus(s)
	if !s.Uniform {
		return ExitPending, nil
	}
	return ExitDone, nil
}

func (o *options) runDrain(ctx context.Context, out output) (int, error) {
	err := o.withReachableClient(func(c *admin.Client) error {
		_, err := c.Drain(ctx, knapweedpulley.EndpointID(o.endpoint))
		return err
	})
	if err != nil {
		return ExitFailed, err
	}
	out.printf("%s takes no new work\n", o.endpoint)
	return ExitDone, nil
}

// runBurn prints the report on service-level burn in the requested format. If entries did not
// answer, it prints the report without them and returns an error marked errIncompleteReport.
func (o *options) runBurn(ctx context.Context, out output) (int, error) {
	switch o.format {
	case formatText, formatJSON, formatHTML:
	default:
		return ExitUsage, usageErrorf("format: %q must be %s, %s or %s", o.format, formatText, formatJSON, formatHTML)
	}
	contracts, err := o.fetchContracts(ctx)
	if err != nil {
		return ExitFailed, err
	}
	documents, missing, err := o.fetchDocuments(ctx)
	if err != nil {
		return ExitFailed, err
	}
	report := burn.NewReport(documents, contracts, time.Now())
	switch o.format {
	case formatJSON:
		err = report.WriteJSON(out.w)
	case formatHTML:
		err = report.WritePage(out.w)
	default:
		err = report.WriteText(out.w)
	}
	if err != nil || len(missing) == 0 {
		return ExitDone, err
	}
	return ExitPending, errors.Mark(errors.Newf("the report lacks the entries at %s", strings.Join(missing, ", ")), errIncompleteReport)
}

// fetchContracts returns the contracts in force, with their rates and bursts only.
func (o *options) fetchContracts(ctx context.Context) ([]knapweedpulley.Contract, error) {
	var l admin.CustomerList
	err := o.withReachableClient(func(c *admin.Client) (err error) {
		l, err = c.Customers(ctx)
		return err
	})
	contracts := make([]knapweedpulley.Contract, 0, len(l.Customers))
	for _, c := range l.Customers {
		contracts = append(contracts, knapweedpulley.Contract{Customer: c.Customer, Rate: c.Rate, Burst: c.Burst})
	}
	return contracts, err
}

// fetchDocuments returns the burn documents of the entries, and the admin addresses of the entries
// from which no document was received.
func (o *options) fetchDocuments(ctx context.Context) ([]burn.Document, []string, error) {
	s, err := loadSettings(o.settingsFile)
	if err != nil {
		return nil, nil, err
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, nil, err
	}
	var documents []burn.Document
	var missing []string
	for _, address := range s.Admin {
		d, err := admin.NewClient(address, s.OperatorKey, tlsConfig).Burn(ctx)
		if err != nil {
			missing = append(missing, address)
			continue
		}
		documents = append(documents, d)
	}
	return documents, missing, nil
}
