package knapweedpulley

// FlagSettings are settings of which some fields can be given on the command line as well.
// A deployment whose platform may lack a field passes it there: the settings file is then
// valid with or without it.
type FlagSettings interface {
	Checker
	// Flags returns the command line flags of the settings.
	Flags() []SettingFlag
}

// SettingFlag is a command line flag that sets a field of the settings.
type SettingFlag struct {
	// Name is the flag without its dashes.
	Name        string
	Description string
	// Set sets the field, or adds to f why the value isn't allowed. It isn't called for an
	// empty value, which leaves the field as it is.
	Set func(value string, f FieldErrors)
}
