package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Tables and keys of the configuration.
const (
	ConfigTable   = "config"
	AuditTable    = "audit"
	headKey       = "head"
	sectionPrefix = "section/"
)

// Actions of audit records.
const (
	ActionPublish  = "publish"
	ActionRollback = "rollback"
	ActionDrain    = "drain"
	ActionUndrain  = "undrain"
)

const (
	scanPage = 500
	// maxDeltaVersions bounds how many audit rows a delta reads; a daemon further
	// behind reads the whole document, which is cheaper then.
	maxDeltaVersions = 64
	// maxSnapshotTries bounds how often a read is repeated because a version was
	// published while it ran.
	maxSnapshotTries = 5
)

// Store reads and writes the configuration in the table service.
type Store struct {
	tables provider.TableStore
	clock  provider.Clock
}

// New returns a store over the table service.
func New(tables provider.TableStore, clock provider.Clock) *Store {
	return &Store{tables: tables, clock: clock}
}

// Proposal is a document that an operator wants to put into force.
type Proposal struct {
	// From is the version that the operator has seen.
	From     int    `json:"from"`
	Operator string `json:"operator"`
	// Action is "publish", "rollback", "drain" or "undrain".
	Action   string           `json:"action"`
	Document encoder.Document `json:"document"`
}

type head struct {
	Version int `json:"version"`
}

// Version returns the version in force, 0 when nothing was published. It reads
// one small row.
func (s *Store) Version(ctx context.Context) (int, error) {
	_, h, err := s.head(ctx)
	return h.Version, err
}

// Document returns the whole configuration in force.
func (s *Store) Document(ctx context.Context) (encoder.Document, error) {
	for range maxSnapshotTries {
		_, before, err := s.head(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		sections, err := s.scanSections(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		_, after, err := s.head(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		if before.Version == after.Version {
			return Apply(encoder.Document{}, after.Version, sections), nil
		}
	}
	return encoder.Document{}, &Error{operation: "document", kind: KindUnavailable, cause: fmt.Errorf("versions changed during %d reads", maxSnapshotTries)}
}

// Delta returns the version in force and the sections that changed after the
// version given. whole means that the sections are the whole document.
func (s *Store) Delta(ctx context.Context, from int) (version int, sections []encoder.Section, whole bool, err error) {
	_, h, err := s.head(ctx)
	if err != nil || h.Version <= from {
		return h.Version, nil, false, err
	}
	if from == 0 || h.Version-from > maxDeltaVersions {
		document, err := s.Document(ctx)
		return document.Version, document.Sections, true, err
	}
	records, err := s.AuditRecords(ctx, from, h.Version-from)
	if err != nil {
		return 0, nil, false, err
	}
	changed := map[string]encoder.Section{}
	var names []string
	for _, record := range records {
		for _, change := range record.Changes {
			section, err := sectionOf(change, record.Version)
			if err != nil {
				return 0, nil, false, err
			}
			if _, ok := changed[change.Section]; !ok {
				names = append(names, change.Section)
			}
			changed[change.Section] = section
		}
		version = record.Version
	}
	for _, name := range names {
		sections = append(sections, changed[name])
	}
	return version, sections, false, nil
}

// Publish puts a document into force and returns its version. On a conflict the
// error names the change that came first and nothing has changed. A document
// that changes nothing keeps the version.
func (s *Store) Publish(ctx context.Context, proposal Proposal) (int, error) {
	record, err := s.publish(ctx, proposal)
	return record.Version, err
}

// PublishDelta is Publish for a caller that puts the accepted changes into force
// itself, since the store may become unreachable before they can be read.
func (s *Store) PublishDelta(ctx context.Context, proposal Proposal) (encoder.Delta, error) {
	record, err := s.publish(ctx, proposal)
	if err != nil {
		return encoder.Delta{}, err
	}
	delta := encoder.Delta{From: proposal.From, To: record.Version, Sections: []encoder.Section{}}
	for _, change := range record.Changes {
		section, err := sectionOf(change, record.Version)
		if err != nil {
			return encoder.Delta{}, err
		}
		delta.Sections = append(delta.Sections, section)
	}
	return delta, nil
}

// publish returns the audit record of the accepted change; a document that changes
// nothing gives one without changes.
func (s *Store) publish(ctx context.Context, proposal Proposal) (encoder.AuditRecord, error) {
	var none encoder.AuditRecord
	if err := Check(proposal.Document); err != nil {
		return none, err
	}
	row, current, err := s.head(ctx)
	if err != nil {
		return none, err
	}
	if current.Version != proposal.From {
		return none, s.conflict(ctx, proposal.From)
	}
	before, err := s.Document(ctx)
	if err != nil {
		return none, err
	}
	if before.Version != proposal.From {
		return none, s.conflict(ctx, proposal.From)
	}
	changes := Diff(before, proposal.Document)
	if len(changes) == 0 {
		return encoder.AuditRecord{Version: current.Version}, nil
	}
	record := encoder.AuditRecord{
		Version: current.Version + 1, From: current.Version, Operator: proposal.Operator,
		At: s.clock.Now().UTC().Format(time.RFC3339Nano), Action: proposal.Action, Changes: changes,
	}
	transaction, err := transactionOf(row.Version, record)
	if err != nil {
		return none, err
	}
	_, err = s.tables.Commit(ctx, transaction)
	version, err := s.publishResult(ctx, record, transaction.ID, err)
	if err != nil {
		return none, err
	}
	record.Version = version
	return record, nil
}

func (s *Store) publishResult(ctx context.Context, record encoder.AuditRecord, id string, err error) (int, error) {
	switch provider.KindOf(err) {
	case provider.KindNone:
		return record.Version, nil
	case provider.KindConflict:
		return 0, s.conflict(ctx, record.From)
	case provider.KindUnknown:
		return s.resolve(ctx, record, id, err)
	}
	return 0, &Error{operation: "publish", kind: KindUnavailable, cause: err}
}

// resolve reads back the audit row of a commit whose answer was lost.
func (s *Store) resolve(ctx context.Context, record encoder.AuditRecord, id string, cause error) (int, error) {
	row, err := s.tables.Read(ctx, AuditTable, auditKey(record.Version))
	if err != nil || row.Version == provider.VersionAbsent {
		// The write may still be under way, so absence proves nothing yet.
		return 0, &Error{operation: "publish", kind: KindUnknown, cause: cause}
	}
	var stored auditRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return 0, &Error{operation: "publish", kind: KindUnknown, cause: err}
	}
	if stored.Commit == id {
		return record.Version, nil
	}
	return 0, &Error{operation: "publish", kind: KindConflict, winner: &stored.Record}
}

// AuditRecords returns up to limit records after the version given, oldest first.
func (s *Store) AuditRecords(ctx context.Context, after, limit int) ([]encoder.AuditRecord, error) {
	rows, err := s.tables.Scan(ctx, AuditTable, "", auditKey(after), limit)
	if err != nil {
		return nil, &Error{operation: "audit", kind: KindUnavailable, cause: err}
	}
	records := make([]encoder.AuditRecord, 0, len(rows))
	for _, row := range rows {
		var stored auditRow
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return nil, &Error{operation: "audit", kind: KindInvalid, cause: fmt.Errorf("row %s: %w", row.Key, err)}
		}
		records = append(records, stored.Record)
	}
	return records, nil
}

// DocumentAt returns the document of an earlier version, by undoing the changes after it.
func (s *Store) DocumentAt(ctx context.Context, version int) (encoder.Document, error) {
	document, err := s.Document(ctx)
	if err != nil {
		return encoder.Document{}, err
	}
	if version < 0 || version > document.Version {
		return encoder.Document{}, &Error{operation: "at", kind: KindNotFound, cause: fmt.Errorf("version %d, in force is %d", version, document.Version)}
	}
	var records []encoder.AuditRecord
	for after := version; after < document.Version; after = records[len(records)-1].Version {
		page, err := s.AuditRecords(ctx, after, scanPage)
		if err != nil {
			return encoder.Document{}, err
		}
		if len(page) == 0 {
			return encoder.Document{}, &Error{operation: "at", kind: KindNotFound, cause: fmt.Errorf("audit record after version %d is missing", after)}
		}
		records = append(records, page...)
	}
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Version > document.Version {
			continue
		}
		if document, err = Revert(document, records[i]); err != nil {
			return encoder.Document{}, err
		}
	}
	return document, nil
}

// conflict returns the error of a lost race with the change that came first.
func (s *Store) conflict(ctx context.Context, from int) error {
	failure := &Error{operation: "publish", kind: KindConflict}
	records, err := s.AuditRecords(ctx, from, 1)
	if err == nil && len(records) == 1 {
		failure.winner = &records[0]
	}
	return failure
}

func (s *Store) head(ctx context.Context) (provider.Row, head, error) {
	row, err := s.tables.Read(ctx, ConfigTable, headKey)
	if err != nil {
		return row, head{}, &Error{operation: "version", kind: KindUnavailable, cause: err}
	}
	var h head
	if row.Version == provider.VersionAbsent {
		return row, h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return row, h, &Error{operation: "version", kind: KindInvalid, cause: err}
	}
	return row, h, nil
}

func (s *Store) scanSections(ctx context.Context) ([]encoder.Section, error) {
	var sections []encoder.Section
	after := ""
	for {
		rows, err := s.tables.Scan(ctx, ConfigTable, sectionPrefix, after, scanPage)
		if err != nil {
			return nil, &Error{operation: "document", kind: KindUnavailable, cause: err}
		}
		for _, row := range rows {
			var section encoder.Section
			if err := json.Unmarshal(row.Value, &section); err != nil {
				return nil, &Error{operation: "document", kind: KindInvalid, cause: fmt.Errorf("row %s: %w", row.Key, err)}
			}
			sections = append(sections, section)
			after = row.Key
		}
		if len(rows) < scanPage {
			return sections, nil
		}
	}
}

// auditRow carries the transaction's id, so that a lost answer can be resolved.
type auditRow struct {
	Commit string              `json:"commit"`
	Record encoder.AuditRecord `json:"record"`
}

func auditKey(version int) string { return fmt.Sprintf("%012d", version) }

func sectionOf(change encoder.Change, version int) (encoder.Section, error) {
	section, err := decodeSection(change.Section, change.After)
	section.Version = version
	return section, err
}

func transactionOf(headVersion int64, record encoder.AuditRecord) (provider.Transaction, error) {
	transaction := provider.Transaction{
		ID:         uuid.NewString(),
		Conditions: []provider.Condition{{Table: ConfigTable, Key: headKey, Version: headVersion}},
	}
	write := func(table, key string, value any) error {
		data, err := json.Marshal(value)
		if err != nil {
			return &Error{operation: "publish", kind: KindInvalid, cause: err}
		}
		transaction.Writes = append(transaction.Writes, provider.Write{Table: table, Key: key, Value: data})
		return nil
	}
	if err := write(ConfigTable, headKey, head{Version: record.Version}); err != nil {
		return transaction, err
	}
	if err := write(AuditTable, auditKey(record.Version), auditRow{Commit: transaction.ID, Record: record}); err != nil {
		return transaction, err
	}
	for _, change := range record.Changes {
		if change.Kind == ChangeRemoved {
			transaction.Writes = append(transaction.Writes, provider.Write{Table: ConfigTable, Key: sectionPrefix + change.Section, Delete: true})
			continue
		}
		section, err := sectionOf(change, record.Version)
		if err != nil {
			return transaction, err
		}
		if err := write(ConfigTable, sectionPrefix+change.Section, section); err != nil {
			return transaction, err
		}
	}
	return transaction, nil
}
