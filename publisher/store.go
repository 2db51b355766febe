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

// Tables and keys of the configuration in the table service.
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
	scanPageRows = 500
	// maxDeltaVersions limits the audit rows that Delta reads. For a daemon that is
	// further behind, reading the whole document is cheaper.
	maxDeltaVersions = 64
	// maxSnapshotTries limits how often Document reads again because a version was
	// published during the read.
	maxSnapshotTries = 5
)

// Store reads and writes the configuration in the table service.
type Store struct {
	tables provider.TableStore
	clock  provider.Clock
}

// New returns a store that uses the given table service and clock.
func New(tables provider.TableStore, clock provider.Clock) *Store {
	return &Store{tables: tables, clock: clock}
}

// Proposal is a document that an operator wants to publish.
type Proposal struct {
	// From is the version on which the document is based.
	From     int    `json:"from"`
	Operator string `json:"operator"`
	// Action is "publish", "rollback", "drain" or "undrain".
	Action   string           `json:"action"`
	Document encoder.Document `json:"document"`
}

type headRow struct {
	Version int `json:"version"`
}

// Version returns the current version, 0 when nothing was published. It reads one small
// row.
func (s *Store) Version(ctx context.Context) (int, error) {
	_, h, err := s.readHead(ctx)
	return h.Version, err
}

// Document returns the whole current configuration.
func (s *Store) Document(ctx context.Context) (encoder.Document, error) {
	for range maxSnapshotTries {
		_, before, err := s.readHead(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		sections, err := s.scanSections(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		_, after, err := s.readHead(ctx)
		if err != nil {
			return encoder.Document{}, err
		}
		if before.Version == after.Version {
			return Apply(encoder.Document{}, after.Version, sections), nil
		}
	}
	return encoder.Document{}, &Error{operation: "document", kind: KindUnavailable, cause: fmt.Errorf("the version changed during each of %d reads", maxSnapshotTries)}
}

// Delta returns the current version and the sections that changed after version from.
// full reports that the sections are the whole document.
func (s *Store) Delta(ctx context.Context, from int) (version int, sections []encoder.Section, full bool, err error) {
	_, h, err := s.readHead(ctx)
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
			section, err := sectionAfter(change, record.Version)
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

// Publish writes a document as the new current version and returns that version. On a
// conflict nothing changes and the error has the change that was published first. A
// document without changes keeps the current version.
func (s *Store) Publish(ctx context.Context, proposal Proposal) (int, error) {
	record, err := s.publish(ctx, proposal)
	return record.Version, err
}

// PublishDelta is like Publish and returns the published changes. The caller can apply
// them at once, even if the store becomes unreachable before they can be read back.
func (s *Store) PublishDelta(ctx context.Context, proposal Proposal) (encoder.Delta, error) {
	record, err := s.publish(ctx, proposal)
	if err != nil {
		return encoder.Delta{}, err
	}
	delta := encoder.Delta{From: proposal.From, To: record.Version, Sections: []encoder.Section{}}
	for _, change := range record.Changes {
		section, err := sectionAfter(change, record.Version)
		if err != nil {
			return encoder.Delta{}, err
		}
		delta.Sections = append(delta.Sections, section)
	}
	return delta, nil
}

// publish returns the audit record of the published version. The record has no changes
// when the document equals the current one.
func (s *Store) publish(ctx context.Context, proposal Proposal) (encoder.AuditRecord, error) {
	var none encoder.AuditRecord
	if err := Check(proposal.Document); err != nil {
		return none, err
	}
	row, current, err := s.readHead(ctx)
	if err != nil {
		return none, err
	}
	if current.Version != proposal.From {
		return none, s.conflictError(ctx, proposal.From)
	}
	before, err := s.Document(ctx)
	if err != nil {
		return none, err
	}
	if before.Version != proposal.From {
		return none, s.conflictError(ctx, proposal.From)
	}
	changes := Diff(before, proposal.Document)
	if len(changes) == 0 {
		return encoder.AuditRecord{Version: current.Version}, nil
	}
	record := encoder.AuditRecord{
		Version: current.Version + 1, From: current.Version, Operator: proposal.Operator,
		At: s.clock.Now().UTC().Format(time.RFC3339Nano), Action: proposal.Action, Changes: changes,
	}
	transaction, err := newTransaction(row.Version, record)
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

// publishResult returns the published version, or the error for a failed commit. After a
// commit with an unknown outcome it reads the audit row.
func (s *Store) publishResult(ctx context.Context, record encoder.AuditRecord, transactionID string, err error) (int, error) {
	switch provider.KindOf(err) {
	case provider.KindNone:
		return record.Version, nil
	case provider.KindConflict:
		return 0, s.conflictError(ctx, record.From)
	case provider.KindUnknown:
		return s.resolveUnknownCommit(ctx, record, transactionID, err)
	}
	return 0, &Error{operation: "publish", kind: KindUnavailable, cause: err}
}

// resolveUnknownCommit reads the audit row of a commit that got no response. The row has
// the ID of the transaction that wrote it, so it shows whether the commit succeeded.
func (s *Store) resolveUnknownCommit(ctx context.Context, record encoder.AuditRecord, transactionID string, cause error) (int, error) {
	row, err := s.tables.Read(ctx, AuditTable, auditKey(record.Version))
	if err != nil || row.Version == provider.VersionAbsent {
		// The commit may still be in progress, so a missing row proves nothing.
		return 0, &Error{operation: "publish", kind: KindUnknown, cause: cause}
	}
	var stored auditRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return 0, &Error{operation: "publish", kind: KindUnknown, cause: err}
	}
	if stored.Commit == transactionID {
		return record.Version, nil
	}
	return 0, &Error{operation: "publish", kind: KindConflict, conflicting: &stored.Record}
}

// AuditRecords returns up to limit records of the versions after the given one, oldest
// first.
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

// DocumentAt returns the document of a version. It starts from the current document and
// reverts the later versions, newest first.
func (s *Store) DocumentAt(ctx context.Context, version int) (encoder.Document, error) {
	document, err := s.Document(ctx)
	if err != nil {
		return encoder.Document{}, err
	}
	if version < 0 || version > document.Version {
		return encoder.Document{}, &Error{operation: "document at version", kind: KindNotFound, cause: fmt.Errorf("no version %d, the current version is %d", version, document.Version)}
	}
	var records []encoder.AuditRecord
	for after := version; after < document.Version; after = records[len(records)-1].Version {
		page, err := s.AuditRecords(ctx, after, scanPageRows)
		if err != nil {
			return encoder.Document{}, err
		}
		if len(page) == 0 {
			return encoder.Document{}, &Error{operation: "document at version", kind: KindNotFound, cause: fmt.Errorf("the audit record after version %d is missing", after)}
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

// conflictError returns an error of KindConflict with the first change after version
// from, if it can be read.
func (s *Store) conflictError(ctx context.Context, from int) error {
	failure := &Error{operation: "publish", kind: KindConflict}
	records, err := s.AuditRecords(ctx, from, 1)
	if err == nil && len(records) == 1 {
		failure.conflicting = &records[0]
	}
	return failure
}

// readHead returns the head row and its content, which is zero when the row is absent.
func (s *Store) readHead(ctx context.Context) (provider.Row, headRow, error) {
	row, err := s.tables.Read(ctx, ConfigTable, headKey)
	if err != nil {
		return row, headRow{}, &Error{operation: "version", kind: KindUnavailable, cause: err}
	}
	var h headRow
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
		rows, err := s.tables.Scan(ctx, ConfigTable, sectionPrefix, after, scanPageRows)
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
		if len(rows) < scanPageRows {
			return sections, nil
		}
	}
}

// auditRow is a row of the audit table. Commit is the ID of the transaction that wrote
// it, which shows after a lost response whether the commit succeeded.
type auditRow struct {
	Commit string              `json:"commit"`
	Record encoder.AuditRecord `json:"record"`
}

func auditKey(version int) string { return fmt.Sprintf("%012d", version) }

// sectionAfter returns the section after the change, with the given version.
func sectionAfter(change encoder.Change, version int) (encoder.Section, error) {
	section, err := decodeSection(change.Section, change.After)
	section.Version = version
	return section, err
}

// newTransaction returns the transaction that publishes the record if the head row still
// has headVersion.
func newTransaction(headVersion int64, record encoder.AuditRecord) (provider.Transaction, error) {
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
	if err := write(ConfigTable, headKey, headRow{Version: record.Version}); err != nil {
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
		section, err := sectionAfter(change, record.Version)
		if err != nil {
			return transaction, err
		}
		if err := write(ConfigTable, sectionPrefix+change.Section, section); err != nil {
			return transaction, err
		}
	}
	return transaction, nil
}
