package follower

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a key. Keys are kept and compared as hashes, so that they appear in
// no memory dump or log, and the time of a comparison says nothing about them.
type KeyHash = [sha256.Size]byte

// Workspace is a customer's set of keys and limits.
type Workspace struct {
	Name string
	// KeyHashes are the hashes of the keys that calls of the workspace carry.
	KeyHashes []KeyHash
	// Priority is the workspace's priority; 0 is the most urgent. It goes before that of the route.
	Priority int
	// RatePerSecond and Burst limit the calls of the workspace over all daemons together. Without a
	// rate there is no limit.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.RatePerSecond > 0 }

// SetWorkspaces sets the workspaces of a configuration that is not in use yet. A key that two
// workspaces list belongs to the first.
func (c *Configuration) SetWorkspaces(workspaces []Workspace) {
	c.workspaces = workspaces
	c.workspaceByKey = make(map[KeyHash]*Workspace, len(workspaces))
	for i := range workspaces {
		for _, hash := range workspaces[i].KeyHashes {
			if c.workspaceByKey[hash] == nil {
				c.workspaceByKey[hash] = &workspaces[i]
			}
		}
	}
}

// Workspaces returns all workspaces. Callers must not modify them.
func (c *Configuration) Workspaces() []Workspace { return c.workspaces }

// NeedsKey reports whether calls of the route carry the key of a workspace.
func (c *Configuration) NeedsKey(r *Route) bool { return len(c.workspaces) > 0 && !r.Public }

// WorkspaceOf returns the workspace that holds a key, or nil if none does.
func (c *Configuration) WorkspaceOf(key KeyHash) *Workspace { return c.workspaceByKey[key] }
