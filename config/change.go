package config

import "reflect"

// Change returns the settings in force after the settings file has changed from n to next.
// Fields for which fixed returns true keep their values until the next start. changed and kept
// are the names of the fields that differ, of those that change and of those that do not.
func (n NodeSettings) Change(next NodeSettings, fixed func(field string) bool) (inForce NodeSettings, changed, kept []string) {
	from, to := reflect.ValueOf(n), reflect.ValueOf(&next).Elem()
	for i := range from.NumField() {
		if reflect.DeepEqual(from.Field(i).Interface(), to.Field(i).Interface()) {
			continue
		}
		name := from.Type().Field(i).Tag.Get("toml")
		if fixed(name) {
			kept = append(kept, name)
			to.Field(i).Set(from.Field(i))
		} else {
			changed = append(changed, name)
		}
	}
	return next, changed, kept
}
