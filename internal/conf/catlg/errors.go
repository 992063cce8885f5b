package catlg

import (
	"fmt"
	"strings"
	"time"
)

// EditConflict is one entry that changed since it was read.
type EditConflict struct {
	Entry EntryName
	// Read is the version of the entry on which the refused edit was based, Have the version in the store. 0 means none.
	Read uint64
	Have uint64
	// By and At are the author and the time of the edit in the store.
	By string
	At time.Time
}

// String returns a readable description of the conflict.
func (cft EditConflict) String() string {
	if cft.Have == 0 {
		return fmt.Sprintf("%s was read at version %d and is not in the store", cft.Entry, cft.Read)
	}
	return fmt.Sprintf("%s was read at version %d, the store has version %d by %s of %s",
		cft.Entry, cft.Read, cft.Have, cft.By, cft.At.Format(time.RFC3339))
}

// EditConflictError is returned for an edit of entries that others have edited since they were read. Nothing was changed.
type EditConflictError struct {
	// EditID identifies the refused edit.
	EditID string
	// Conflicts lists the entries in the order of their names.
	Conflicts []EditConflict
}

func (err *EditConflictError) Error() string {
	txts := make([]string, 0, len(err.Conflicts))
	for _, cft := range err.Conflicts {
		txts = append(txts, cft.String())
	}
	return "edit refused, entries changed since they were read: " + strings.Join(txts, "; ")
}

// EditUnknownError is returned for an edit that may have been accepted or may still be accepted later. To find out, Put the
// same edit again with the same id.
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
