package conf

import "maps"

// Editor derives a new configuration from a base configuration. It copies each
// map and block of adapters on the first write, so that the base configuration
// stays unchanged.
type Editor struct {
	next Config
	// copied tells which maps of next are copies, by the indexes below.
	copied [4]bool
	token  *editToken
}

// Indexes of Editor.copied.
const (
	organisationsCopied = iota
	keysCopied
	routesCopied
	upstreamsCopied
)

// Edit returns an Editor with this configuration as its base.
func (config *Config) Edit() *Editor { return &Editor{next: *config, token: new(editToken)} }

// Current returns the configuration with the edits made so far. The result is
// valid until the next edit.
func (editor *Editor) Current() *Config { return &editor.next }

// PutOrganisation adds or replaces an organisation.
func (editor *Editor) PutOrganisation(organisation OrganisationSpec) {
	put(editor, organisationsCopied, &editor.next.organisations, organisation.Name, organisation)
}

// RemoveOrganisation removes an organisation.
func (editor *Editor) RemoveOrganisation(name string) {
	remove(editor, organisationsCopied, &editor.next.organisations, name)
}

// PutKey adds or replaces a key.
func (editor *Editor) PutKey(key KeySpec) {
	put(editor, keysCopied, &editor.next.keys, key.ID, key)
}

// WithdrawKey removes a key.
func (editor *Editor) WithdrawKey(id string) {
	remove(editor, keysCopied, &editor.next.keys, id)
}

// PutRoute adds or replaces a route.
func (editor *Editor) PutRoute(route RouteSpec) {
	put(editor, routesCopied, &editor.next.routes, route.Name, route)
}

// RemoveRoute removes a route.
func (editor *Editor) RemoveRoute(name string) {
	remove(editor, routesCopied, &editor.next.routes, name)
}

// PutAdapter adds or replaces an adapter.
func (editor *Editor) PutAdapter(adapter AdapterSpec) {
	editor.next.adapters.put(editor.token, adapter)
}

// RemoveAdapter removes an adapter.
func (editor *Editor) RemoveAdapter(name string) {
	editor.next.adapters.remove(editor.token, name)
}

// PutUpstream adds or replaces an upstream.
func (editor *Editor) PutUpstream(upstream UpstreamSpec) {
	put(editor, upstreamsCopied, &editor.next.upstreams, upstream.ID, upstream)
}

// RemoveUpstream removes an upstream.
func (editor *Editor) RemoveUpstream(id string) {
	remove(editor, upstreamsCopied, &editor.next.upstreams, id)
}

// PutFleet replaces the settings of the whole fleet.
func (editor *Editor) PutFleet(fleet FleetSpec) { editor.next.fleet = fleet }

// Commit returns the edited configuration with a version number. The Editor
// can be used again, with the returned configuration as its base.
func (editor *Editor) Commit(version uint64) *Config {
	editor.next.adapters.trimCapacity(editor.token)
	config := editor.next
	config.version = version
	editor.token = new(editToken)
	editor.copied = [4]bool{}
	return &config
}

func put[T any](editor *Editor, index int, items *map[string]T, name string, item T) {
	cloneOnce(editor, index, items)
	(*items)[name] = item
}

func remove[T any](editor *Editor, index int, items *map[string]T, name string) {
	cloneOnce(editor, index, items)
	delete(*items, name)
}

func cloneOnce[T any](editor *Editor, index int, items *map[string]T) {
	if editor.copied[index] {
		return
	}
	*items = maps.Clone(*items)
	editor.copied[index] = true
}
