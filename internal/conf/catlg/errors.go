package catlg

import (
	"fmt"
	"strings"
	"time"
)

// EditConflict is one entry that changed since it was read.
type EditConflict struct {
	// Entry names the entry.
	Entry EntryName
	// Read is the version on which the refused edit was based, Have the version in the store. 0 means none.
	Read uint64
	Have uint64
	// By made the edit that won, At tells when.
	By string
	At time.Time
}

// String describes the race for people.
func (rac EditConflict) String() string {
	if rac.Have == 0 {
		return fmt.Sprintf("%s was read at version %d and is not in the store", rac.Entry, rac.Read)
	}
	return fmt.Sprintf("%s was read at version %d, the store has version %d by %s of %s",
		rac.Entry, rac.Read, rac.Have, rac.By, rac.At.Format(time.RFC3339))
}

// EditConflictError refuses an edit because others edited the same entries first. Nothing was changed.
type EditConflictError struct {
	// EditID identifies the refused edit.
	EditID string
	// Conflicts lists the entries in the order of their names.
	Conflicts []EditConflict
}

func (err *EditConflictError) Error() string {
	txts := make([]string, 0, len(err.Conflicts))
	for _, rac := range err.Conflicts {
		txts = append(txts, rac.String())
	}
	return "edit refused, entries changed since they were read: " + strings.Join(txts, "; ")
}

// EditUnknownError reports an edit that may have been accepted, now or later. Another Put of the same edit with the
// same id settles it.
type EditUnknownError struct {
	// EditID identifies the edit.
	EditID string
	// Err is the cause.
	Err error
}

func (err *EditUnknownError) Error() string {
	return fmt.Sprintf("outcome of edit %s is unknown: %v", err.EditID, err.Err)
}

// Unwrap returns the cause.
func (err *EditUnknownError) Unwrap() error { return err.Err }
