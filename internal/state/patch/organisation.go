package patch

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
)

// minSaltSize is the least salt length in bytes that makes equal secrets have
// different digests.
const minSaltSize = 16

func (op PutOrganisation) check() *Problem {
	organisation := op.Organisation
	if problem := firstProblem(checkName("name", organisation.Name), checkOptionalName("half", string(organisation.Half))); problem != nil {
		return problem
	}
	if organisation.Rate <= 0 || organisation.Rate > maxTokens {
		return refuse("rate", "%d must be 1 to %d tokens per second", organisation.Rate, maxTokens)
	}
	if organisation.Burst < organisation.Rate || organisation.Burst > maxTokens {
		return refuse("burst", "%d must be at least rate × 1 s, which is %d, and at most %d tokens",
			organisation.Burst, organisation.Rate, maxTokens)
	}
	return nil
}

func (op PutOrganisation) apply(draft *draft) *Problem {
	organisation := op.Organisation
	current, exists := draft.now().Organisation(organisation.Name)
	if len(organisation.Shards) > 0 && !slices.Equal(organisation.Shards, current.Shards) {
		return refuse("shards", "are assigned by the system; leave them out")
	}
	organisation.Shards = current.Shards
	if !exists {
		draft.created = append(draft.created, organisation.Name)
	}
	draft.topology = draft.topology || !exists || current.Half != organisation.Half
	draft.editor.PutOrganisation(organisation)
	return nil
}

func (op PutOrganisation) verify(draft *draft) *Problem {
	organisation, _ := draft.now().Organisation(op.Organisation.Name)
	if len(organisation.Shards) == 0 {
		return refuse("shards", "cannot be assigned because there is no upstream; put an upstream in this or an earlier patch")
	}
	return nil
}

func (op RemoveOrganisation) check() *Problem { return nil }

func (op RemoveOrganisation) apply(draft *draft) *Problem {
	if _, ok := draft.now().Organisation(op.Name); !ok {
		return refuse("", "organisation %q does not exist", op.Name)
	}
	draft.editor.RemoveOrganisation(op.Name)
	return nil
}

func (op RemoveOrganisation) verify(draft *draft) *Problem {
	for key := range draft.now().AllKeys() {
		if key.Organisation == op.Name {
			// No key is named, since the order of keys differs between processes.
			return refuse("", "organisation %q still has keys; withdraw them first", op.Name)
		}
	}
	for adapter := range draft.now().AllAdapters() {
		if adapter.Organisation == op.Name {
			return refuse("", "organisation %q still has adapter %q; remove it first", op.Name, adapter.Name)
		}
	}
	return nil
}

func (op PutKey) check() *Problem {
	if !creds.ValidID(op.Key.ID) {
		return refuse("id", "%q is not a key id; issue keys with 'key issue'", op.Key.ID)
	}
	if len(op.Key.Salt) < minSaltSize || len(op.Key.Salt) > 4*minSaltSize {
		return refuse("salt", "has %d bytes; it must have %d to %d", len(op.Key.Salt), minSaltSize, 4*minSaltSize)
	}
	if op.Key.Digest == ([conf.DigestSize]byte{}) {
		return refuse("digest", "is empty; issue keys with 'key issue'")
	}
	return nil
}

func (op PutKey) apply(draft *draft) *Problem {
	if _, ok := draft.now().Key(op.Key.ID); ok {
		return refuse("id", "key %s exists; withdraw it and issue another", op.Key.ID)
	}
	draft.editor.PutKey(op.Key)
	return nil
}

func (op PutKey) verify(draft *draft) *Problem {
	return draft.checkOrganisation("organisation", op.Key.Organisation)
}

func (op WithdrawKey) check() *Problem { return nil }

func (op WithdrawKey) apply(draft *draft) *Problem {
	if _, ok := draft.now().Key(op.ID); !ok {
		return refuse("", "key %q does not exist", op.ID)
	}
	draft.editor.WithdrawKey(op.ID)
	return nil
}

func (op WithdrawKey) verify(*draft) *Problem { return nil }

func (draft *draft) checkOrganisation(field, name string) *Problem {
	if _, ok := draft.now().Organisation(name); !ok {
		return refuse(field, "organisation %q does not exist; put it in this or an earlier patch", name)
	}
	return nil
}
