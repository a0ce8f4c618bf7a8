// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// maxEvacuations bounds the rows of evacuations, ended ones included. It is far above the
// number of data centres of any fleet.
const maxEvacuations = 1024

// ErrSuperseded is the refusal of an order to begin or end an evacuation, if the evacuation
// of its data centre has changed since the order was received. Without it, an order that
// was delayed on its way would undo a later one.
type ErrSuperseded struct{ DataCentre string }

func (e ErrSuperseded) Error() string {
	return "the evacuation of " + e.DataCentre + " has changed since this order was received: read its state and send the order again"
}

// IsErrSuperseded reports whether the cause of an error is an ErrSuperseded.
func IsErrSuperseded(err error) bool {
	_, ok := errors.Cause(err).(ErrSuperseded)
	return ok
}

// ErrTooManyEvacuations is the refusal of an evacuation beyond maxEvacuations.
type ErrTooManyEvacuations struct{}

func (ErrTooManyEvacuations) Error() string {
	return "too many data centres have been evacuated: name a data centre of this fleet"
}

// IsErrTooManyEvacuations reports whether the cause of an error is an
// ErrTooManyEvacuations.
func IsErrTooManyEvacuations(err error) bool {
	_, ok := errors.Cause(err).(ErrTooManyEvacuations)
	return ok
}

// Evacuations holds, by data centre, whether its targets may receive requests. Rows are
// replaced and never modified.
type Evacuations struct {
	rows map[string]*statev1.Evacuation
	// Revision increases with every change of a row.
	Revision uint64
}

// Of returns the row of a data centre, nil if it was never evacuated.
func (e *Evacuations) Of(dataCentre string) *statev1.Evacuation { return e.rows[dataCentre] }

// Rows returns all rows in the order of their data centres.
func (e *Evacuations) Rows() []*statev1.Evacuation { return SortedByKey(e.rows) }

// apply begins or ends an evacuation. It returns nil if the evacuation is as the order
// demands, and the reason otherwise.
func (e *Evacuations) apply(m *statev1.PutEvacuation) any {
	row := e.rows[m.GetDataCentre()]
	switch {
	case row.GetActive() == m.GetActive():
		return nil
	case row.GetRevision() != m.GetBase():
		return errors.WithStack(ErrSuperseded{DataCentre: m.GetDataCentre()})
	case row == nil && len(e.rows) >= maxEvacuations:
		return errors.WithStack(ErrTooManyEvacuations{})
	}
	e.Revision++
	if e.rows == nil {
		e.rows = map[string]*statev1.Evacuation{}
	}
	e.rows[m.GetDataCentre()] = &statev1.Evacuation{DataCentre: m.GetDataCentre(), Active: m.GetActive(), Revision: e.Revision}
	return nil
}

func (e *Evacuations) snapshot(s *statev1.Snapshot) {
	s.Evacuations, s.EvacuationRevision = e.Rows(), e.Revision
}

func evacuationsFromSnapshot(s *statev1.Snapshot) Evacuations {
	e := Evacuations{rows: map[string]*statev1.Evacuation{}, Revision: s.GetEvacuationRevision()}
	for _, row := range s.GetEvacuations() {
		e.rows[row.GetDataCentre()] = row
	}
	return e
}

// ActiveEvacuations returns the names of the data centres that are being evacuated, in the
// order of the rows.
func ActiveEvacuations(rows []*statev1.Evacuation) []string {
	var names []string
	for _, row := range rows {
		if row.GetActive() {
			names = append(names, row.GetDataCentre())
		}
	}
	return names
}
