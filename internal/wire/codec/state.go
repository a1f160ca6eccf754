package codec

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Field numbers of the message wirepb.State.
const (
	stateVersion       protowire.Number = 1
	stateOffset        protowire.Number = 2
	stateOrganisations protowire.Number = 3
	stateKeys          protowire.Number = 4
	stateRoutes        protowire.Number = 5
	stateAdapters      protowire.Number = 6
	stateUpstreams     protowire.Number = 7
	stateFleet         protowire.Number = 8
	stateAccepted      protowire.Number = 10
)

// EncodeState encodes a state as a wirepb.State. It encodes one entry at a time,
// so that no second copy of the whole configuration is built in memory. Equal
// states have equal encodings.
func EncodeState(state replay.State) ([]byte, error) {
	config := state.Config
	encoder := encoder{data: make([]byte, 0, estimatedBaseSize+estimatedAdapterSize*config.AdapterCount())}
	encoder.varint(stateVersion, config.Version())
	encoder.varint(stateOffset, state.VersionOffset)
	for _, organisation := range config.Organisations() {
		encoder.message(stateOrganisations, organisationToWire(organisation))
	}
	for _, key := range config.Keys() {
		encoder.message(stateKeys, keyToWire(key))
	}
	for _, route := range config.Routes() {
		encoder.message(stateRoutes, routeToWire(route))
	}
	var wire wirepb.Adapter
	for adapter := range config.AllAdapters() {
		fillAdapter(&wire, adapter)
		encoder.message(stateAdapters, &wire)
	}
	for _, upstream := range config.Upstreams() {
		encoder.message(stateUpstreams, upstreamToWire(upstream))
	}
	encoder.message(stateFleet, fleetToWire(config.Fleet()))
	for _, id := range state.RecentPatches {
		encoder.data = protowire.AppendTag(encoder.data, stateAccepted, protowire.BytesType)
		encoder.data = protowire.AppendString(encoder.data, id)
	}
	return encoder.data, encoder.err
}

// Estimates of the size of an encoded state in bytes, without adapters and for
// each adapter. With them the buffer seldom has to grow, which would double the
// memory in use.
const (
	estimatedBaseSize    = 64 << 10
	estimatedAdapterSize = 64
)

// encoder appends fields to an encoded message and keeps the first error.
type encoder struct {
	data []byte
	err  error
}

func (encoder *encoder) varint(field protowire.Number, value uint64) {
	encoder.data = protowire.AppendTag(encoder.data, field, protowire.VarintType)
	encoder.data = protowire.AppendVarint(encoder.data, value)
}

func (encoder *encoder) message(field protowire.Number, message proto.Message) {
	if encoder.err != nil {
		return
	}
	options := proto.MarshalOptions{Deterministic: true}
	encoder.data = protowire.AppendTag(encoder.data, field, protowire.BytesType)
	encoder.data = protowire.AppendVarint(encoder.data, uint64(options.Size(message)))
	data, err := options.MarshalAppend(encoder.data, message)
	encoder.data, encoder.err = data, Class.Wrap(err)
}

// DecodeState decodes what EncodeState encoded, one entry at a time.
func DecodeState(data []byte) (replay.State, error) {
	decoder := decoder{editor: conf.New().Edit()}
	for len(data) > 0 {
		field, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return replay.State{}, Class.Wrap(protowire.ParseError(size))
		}
		value := protowire.ConsumeFieldValue(field, kind, data[size:])
		if value < 0 {
			return replay.State{}, Class.Wrap(protowire.ParseError(value))
		}
		if err := decoder.decodeField(field, kind, data[size:size+value]); err != nil {
			return replay.State{}, err
		}
		data = data[size+value:]
	}
	if uint64(len(decoder.accepted)) > min(decoder.version, replay.MaxRecentPatches) {
		return replay.State{}, Class.New("version %d cannot have %d accepted patches", decoder.version, len(decoder.accepted))
	}
	return replay.State{
		Config: decoder.editor.Commit(decoder.version), VersionOffset: decoder.offset, RecentPatches: decoder.accepted,
	}, nil
}

// decoder collects the decoded fields of a state.
type decoder struct {
	editor   *conf.Editor
	version  uint64
	offset   uint64
	accepted []string
	adapter  wirepb.Adapter
}

func (decoder *decoder) decodeField(field protowire.Number, kind protowire.Type, value []byte) error {
	switch kind {
	case protowire.VarintType:
		number, _ := protowire.ConsumeVarint(value)
		switch field {
		case stateVersion:
			decoder.version = number
		case stateOffset:
			decoder.offset = number
		}
		return nil
	case protowire.BytesType:
		content, _ := protowire.ConsumeBytes(value)
		return decoder.decodeEntry(field, content)
	default:
		return nil
	}
}

func (decoder *decoder) decodeEntry(field protowire.Number, content []byte) error {
	editor := decoder.editor
	switch field {
	case stateOrganisations:
		return decodeAndPut(content, &wirepb.Organisation{}, organisationFromWire, editor.PutOrganisation)
	case stateKeys:
		return decodeAndPut(content, &wirepb.Key{}, keyFromWire, editor.PutKey)
	case stateRoutes:
		return decodeAndPut(content, &wirepb.Route{}, routeFromWire, editor.PutRoute)
	case stateAdapters:
		// The message is reused to save memory, since there are many adapters. The
		// editor keeps no reference to it.
		return decodeAndPut(content, &decoder.adapter, adapterFromWire, editor.PutAdapter)
	case stateUpstreams:
		return decodeAndPut(content, &wirepb.Upstream{}, upstreamFromWire, editor.PutUpstream)
	case stateFleet:
		return decodeAndPut(content, &wirepb.Fleet{}, fleetFromWire, editor.PutFleet)
	case stateAccepted:
		decoder.accepted = append(decoder.accepted, string(content))
	}
	return nil
}

// decodeAndPut decodes one entry of a state and passes it to put.
func decodeAndPut[W proto.Message, T any](content []byte, wire W, convert func(W) T, put func(T)) error {
	if err := proto.Unmarshal(content, wire); err != nil {
		return Class.Wrap(err)
	}
	put(convert(wire))
	return nil
}
