package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/samber/do/v2"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/model"
)

// fileLists reads the lists from local files once.
type fileLists struct {
	paths settings.Lists
}

func newLists(i do.Injector) (Lists, error) {
	s := do.MustInvoke[*settings.Settings](i)
	if s.UsesPlatform() {
		return nil, errors.New("reading from the platform is not wired yet")
	}
	return fileLists{paths: s.Lists}, nil
}

// Run implements Lists.
func (f fileLists) Run(ctx context.Context, adopt func(*model.Snapshot)) error {
	s, err := f.read()
	if err != nil {
		return err
	}
	adopt(s)
	<-ctx.Done()
	return nil
}

func (f fileLists) read() (*model.Snapshot, error) {
	var docs lists.Documents
	for _, d := range []struct {
		path string
		into *lists.Document
	}{
		{f.paths.Customers, &docs.Customers},
		{f.paths.Plans, &docs.Plans},
		{f.paths.Machines, &docs.Machines},
	} {
		data, err := os.ReadFile(d.path)
		if err != nil {
			return nil, fmt.Errorf("read list: %w", err)
		}
		*d.into = lists.Document{Name: d.path, Data: data}
	}
	return lists.Parse(docs)
}

// noBulk refuses every request.
type noBulk struct{}

func newBulk(do.Injector) (Bulk, error) {
	return noBulk{}, nil
}

// FetchSnapshots implements Bulk.
func (noBulk) FetchSnapshots(context.Context, *model.EntryVM, bool) ([]flow.Snapshot, error) {
	return nil, errors.New("calls between daemons are not wired yet")
}
