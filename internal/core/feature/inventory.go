package feature

// FormInfo is one kind of stored value, or of message between controllers, in one
// form.
type FormInfo struct {
	Name          string // the beginning of the key, or the message
	Form          int    // what the value or message names as its form; 0: names none
	Gate          string // that has to be open for it to be written; "": none
	Since         string // version that writes it first
	Writer        string
	Readers       string
	OlderVersions string // what a version does that does not know the form
}

// Inventory lists all forms, oldest first for each name. docs/upgrades.md has the
// same table.
func Inventory() []FormInfo {
	return []FormInfo{
		{"fc/lease", 1, "", "0.1", "leader", "all", "-"},
		{"fc/lease", 2, "", "0.1", "leader, once all tell that they read it", "all", "cannot read it, is granted nothing"},
		{"fc/lease", 3, "lease-level", "0.2", "leader", "all", "0.1: cannot read it, is granted nothing; later ones refuse to serve"},
		{"fc/m/", 0, "", "0.1", "leader, with the value that names the page", "all", "-"},
		{"fc/m/", 1, "lease-level", "0.2", "leader, with the value that names the page", "all", "reads names as before, the value decides"},
		{"fc/j/", 0, "", "0.1", "who accepts the job", "all", "-"},
		{"fc/j/", 1, "envelope", "0.2", "who accepts the job; the owner, once, for form 0", "all", "leaves it alone, answers 503 for the job"},
		{"fc/t/", 0, "", "0.1", "who ends the job", "all", "-"},
		{"fc/t/", 1, "envelope", "0.2", "who ends the job", "all", "reads it as before"},
		{"fc/c/", 1, "", "0.4", "who cancels the job; the job's owner, with machines", "all", "does not read it"},
		{"fc/r/", 0, "", "0.1", "a controller that cannot reach the leader", "leader", "-"},
		{"fc/r/", 1, "", "0.2", "a controller that cannot reach the leader", "leader", "reads it as before; an unknown form is not honoured"},
		{"fc/g/n/", 1, "", "0.2", "each controller, of itself", "leader, operators", "does not read it"},
		{"fc/g/word", 1, "", "0.2", "operators", "leader, operators", "does not read it"},
		{"fp/", 0, "", "0.1", "each owner, its own", "owners that take over", "-"},
		{"fp/", 1, "envelope", "0.2", "each owner, its own", "owners that take over", "leaves it alone, writes other pages"},
		{"fc/gen", 1, "", "0.3", "who rebuilds the state", "all, operators", "does not read it"},
		{"frame", 0, "", "0.1", "controllers", "controllers", "-"},
		{"frame", 1, "", "0.2", "controllers", "controllers", "reads it as before; an unknown form is dropped"},
		{"renewal", 0, "", "0.1", "controllers", "leader", "-"},
		{"renewal", 1, "", "0.2", "controllers", "leader", "reads it as before; an unknown form is dropped"},
	}
}
