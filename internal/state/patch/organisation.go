package patch

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
)

// minSaltSize is the minimum salt length in bytes. It makes it practically
// certain that equal secrets have different digests.
const minSaltSize = 16

func (op PutOrganisation) check() *Problem {
	organisation := op.Organisation
	if problem := firstProblem(checkName("name", organisation.Name), checkOptionalName("half", string(organisation.Half))); problem != nil {
		return problem
	}
	if organisation.Rate <= 0 || organisation.Rate > maxTokens {
		return problemf("rate", "%d must be 1 to %d tokens per second", organisation.Rate, maxTokens)
	}
	if organisation.Burst < organisation.Rate || organisation.Burst > maxTokens {
		return problemf("burst", "%d must be at least rate × 1 s, which is %d, and at most %d tokens",
			organisation.Burst, organisation.Rate, maxTokens)
	}
	return nil
}

func (op PutOrganisation) apply(draft *draft) *Problem {
	organisation := op.Organisation
	current, exists := draft.current().Organisation(organisation.Name)
	if len(organisation.Shards) > 0 && !slices.Equal(organisation.Shards, current.Shards) {
		return problemf("shards", "are assigned by the system; leave them out")
	}
	organisation.Shards = current.Shards
	if !exists {
		draft.createdOrganisations = append(draft.createdOrganisations, organisation.Name)
	}
	draft.topologyChanged = draft.topologyChanged || !exists || current.Half != organisation.Half
	draft.editor.PutOrganisation(organisation)
	return nil
}

func (op PutOrganisation) verify(draft *draft) *Problem {
	organisation, _ := draft.current().Organisation(op.Organisation.Name)
	if len(organisation.Shards) == 0 {
		return problemf("shards", "cannot be assigned because there is no upstream; put an upstream in this or an earlier patch")
	}
	return nil
}

func (op RemoveOrganisation) check() *Problem { return nil }

func (op RemoveOrganisation) apply(draft *draft) *Problem {
	if _, ok := draft.current().Organisation(op.Name); !ok {
		return problemf("", "organisation %q does not exist", op.Name)
	}
	draft.editor.RemoveOrganisation(op.Name)
	return nil
}

func (op RemoveOrganisation) verify(draft *draft) *Problem {
	for key := range draft.current().AllKeys() {
		if key.Organisation == op.Name {
			// The reason names no key: the order of keys differs between processes,
			// which must all return the same result.
			return problemf("", "organisation %q still has keys; withdraw them first", op.Name)
		}
	}
	for adapter := range draft.current().AllAdapters() {
		if adapter.Organisation == op.Name {
			return problemf("", "organisation %q still has adapter %q; remove it first", op.Name, adapter.Name)
		}
	}
	return nil
}

func (op PutKey) check() *Problem {
	if !creds.ValidID(op.Key.ID) {
		return problemf("id", "%q is not a key id; issue keys with 'key issue'", op.Key.ID)
	}
	if len(op.Key.Salt) < minSaltSize || len(op.Key.Salt) > 4*minSaltSize {
		return problemf("salt", "has %d bytes; it must have %d to %d", len(op.Key.Salt), minSaltSize, 4*minSaltSize)
	}
	if op.Key.Digest == ([conf.DigestSize]byte{}) {
		return problemf("digest", "is empty; issue keys with 'key issue'")
	}
	return nil
}

func (op PutKey) apply(draft *draft) *Problem {
	if _, ok := draft.current().Key(op.Key.ID); ok {
		return problemf("id", "key %s exists; withdraw it and issue another", op.Key.ID)
	}
	draft.editor.PutKey(op.Key)
	return nil
}

func (op PutKey) verify(draft *draft) *Problem {
	return draft.checkOrganisation("organisation", op.Key.Organisation)
}

func (op WithdrawKey) check() *Problem { return nil }

func (op WithdrawKey) apply(draft *draft) *Problem {
	if _, ok := draft.current().Key(op.ID); !ok {
		return problemf("", "key %q does not exist", op.ID)
	}
	draft.editor.WithdrawKey(op.ID)
	return nil
}

func (op WithdrawKey) verify(*draft) *Problem { return nil }

func (draft *draft) checkOrganisation(field, name string) *Problem {
	if _, ok := draft.current().Organisation(name); !ok {
		return problemf(field, "organisation %q does not exist; put it in this or an earlier patch", name)
	}
	return nil
}
