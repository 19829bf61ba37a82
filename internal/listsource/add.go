package listsource

import (
	"fmt"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
)

// addDocument processes a document from any source. All documents pass through it.
func (r *Reader) addDocument(kind lists.Kind, revision uint64, doc lists.Document, source Source) (outcome, []Action) {
	result, errKind, err := r.store.addDocument(kind, revision, doc)
	switch {
	case result != outcomeRejected || err == nil:
		return result, nil
	case errKind == errkind.DocumentInvalid:
		return result, r.reportInvalid(kind, r.store.rejected[kind].Revision, source, err)
	}
	return result, r.reportStale(kind, revision, source, err)
}

// rejectLagging rejects a document from a platform replica that lags behind the revision reported by the
// platform.
func (r *Reader) rejectLagging(kind lists.Kind, revision uint64) []Action {
	err := fmt.Errorf("%s (%s): revision %d is older than revision %d, which the platform reported before",
		kind, SourcePlatform, revision, r.platformState.revisions[kind])
	return r.reportStale(kind, revision, SourcePlatform, err)
}

func (r *Reader) reportInvalid(kind lists.Kind, revision uint64, source Source, err error) []Action {
	if revision != 0 && r.reported.invalid[kind] == revision {
		return nil
	}
	r.reported.invalid[kind] = revision
	return []Action{Rejected{Kind: errkind.DocumentInvalid, List: kind, Revision: revision, Source: source, Err: err}}
}

func (r *Reader) reportStale(kind lists.Kind, revision uint64, source Source, err error) []Action {
	if r.reported.stale[kind] == revision {
		return nil
	}
	r.reported.stale[kind] = revision
	return []Action{Rejected{Kind: errkind.DocumentStale, List: kind, Revision: revision, Source: source, Err: err}}
}

// namedDocument returns a lists.Document for a body without a file name. Its name is made of the kind and the
// source.
func namedDocument(kind lists.Kind, body []byte, source Source) lists.Document {
	return lists.Document{Name: fmt.Sprintf("%s (%s)", kind, source), Data: body}
}
