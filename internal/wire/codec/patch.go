package codec

import (
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// PatchToWire converts a patch to its wire form.
func PatchToWire(record patch.Patch) *wirepb.PatchRecord {
	wire := &wirepb.PatchRecord{
		Id:       record.ID,
		Base:     record.BaseVersion,
		Force:    record.Force,
		Operator: record.Operator,
		Ops:      make([]*wirepb.Op, 0, len(record.Ops)),
	}
	for _, op := range record.Ops {
		wire.Ops = append(wire.Ops, opToWire(op))
	}
	return wire
}

// PatchFromWire converts a patch from its wire form. An operation of an unknown
// kind becomes nil, which patch.Validate rejects.
func PatchFromWire(wire *wirepb.PatchRecord) patch.Patch {
	record := patch.Patch{
		ID:          wire.GetId(),
		BaseVersion: wire.GetBase(),
		Force:       wire.GetForce(),
		Operator:    wire.GetOperator(),
		Ops:         make([]patch.Op, 0, len(wire.GetOps())),
	}
	for _, op := range wire.GetOps() {
		record.Ops = append(record.Ops, opFromWire(op))
	}
	return record
}

func opToWire(op patch.Op) *wirepb.Op {
	switch op := op.(type) {
	case patch.PutOrganisation:
		return &wirepb.Op{Op: &wirepb.Op_PutOrganisation{PutOrganisation: organisationToWire(op.Organisation)}}
	case patch.RemoveOrganisation:
		return &wirepb.Op{Op: &wirepb.Op_RemoveOrganisation{RemoveOrganisation: op.Name}}
	case patch.PutKey:
		return &wirepb.Op{Op: &wirepb.Op_PutKey{PutKey: keyToWire(op.Key)}}
	case patch.WithdrawKey:
		return &wirepb.Op{Op: &wirepb.Op_WithdrawKey{WithdrawKey: op.ID}}
	case patch.PutRoute:
		return &wirepb.Op{Op: &wirepb.Op_PutRoute{PutRoute: routeToWire(op.Route)}}
	case patch.RemoveRoute:
		return &wirepb.Op{Op: &wirepb.Op_RemoveRoute{RemoveRoute: op.Name}}
	case patch.PutAdapter:
		return &wirepb.Op{Op: &wirepb.Op_PutAdapter{PutAdapter: adapterToWire(op.Adapter)}}
	case patch.RemoveAdapter:
		return &wirepb.Op{Op: &wirepb.Op_RemoveAdapter{RemoveAdapter: op.Name}}
	case patch.PutUpstream:
		return &wirepb.Op{Op: &wirepb.Op_PutUpstream{PutUpstream: upstreamToWire(op.Upstream)}}
	case patch.RemoveUpstream:
		return &wirepb.Op{Op: &wirepb.Op_RemoveUpstream{RemoveUpstream: &wirepb.RemoveUpstream{Id: op.ID, Ended: op.Ended}}}
	case patch.PutFleet:
		return &wirepb.Op{Op: &wirepb.Op_PutFleet{PutFleet: fleetToWire(op.Fleet)}}
	default:
		return &wirepb.Op{}
	}
}

func opFromWire(op *wirepb.Op) patch.Op {
	switch op := op.GetOp().(type) {
	case *wirepb.Op_PutOrganisation:
		return patch.PutOrganisation{Organisation: organisationFromWire(op.PutOrganisation)}
	case *wirepb.Op_RemoveOrganisation:
		return patch.RemoveOrganisation{Name: op.RemoveOrganisation}
	case *wirepb.Op_PutKey:
		return patch.PutKey{Key: keyFromWire(op.PutKey)}
	case *wirepb.Op_WithdrawKey:
		return patch.WithdrawKey{ID: op.WithdrawKey}
	case *wirepb.Op_PutRoute:
		return patch.PutRoute{Route: routeFromWire(op.PutRoute)}
	case *wirepb.Op_RemoveRoute:
		return patch.RemoveRoute{Name: op.RemoveRoute}
	case *wirepb.Op_PutAdapter:
		return patch.PutAdapter{Adapter: adapterFromWire(op.PutAdapter)}
	case *wirepb.Op_RemoveAdapter:
		return patch.RemoveAdapter{Name: op.RemoveAdapter}
	case *wirepb.Op_PutUpstream:
		return patch.PutUpstream{Upstream: upstreamFromWire(op.PutUpstream)}
	case *wirepb.Op_RemoveUpstream:
		return patch.RemoveUpstream{ID: op.RemoveUpstream.GetId(), Ended: op.RemoveUpstream.GetEnded()}
	case *wirepb.Op_PutFleet:
		return patch.PutFleet{Fleet: fleetFromWire(op.PutFleet)}
	default:
		return nil
	}
}
