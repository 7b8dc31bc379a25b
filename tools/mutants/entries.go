package main

// entryMutants returns mutants that break how servers' registry entries are parsed and accepted.
func entryMutants() []mutant {
	in := func(pkg, file, name, old, fresh string) mutant {
		return mutant{name: "entries: " + name, file: pkg + "/" + file, old: old, new: fresh, pkg: pkg, run: "."}
	}
	return []mutant{
		in("fleet", "fleet.go", "accept older versions", "version.Revision < known.revision || version.Revision == known.revision && known.removed", "false"),
		in("fleet", "fleet.go", "accept an outdated removal", "known.removed || asOf < known.revision {", "known.removed {"),
		in("fleet", "fleet.go", "accept an earlier start at once", "known.earlierStarts < acceptEarlierStartAfter", "false"),
		in("fleet", "fleet.go", "never accept an earlier start", "known.earlierStarts < acceptEarlierStartAfter", "true"),
		in("fleet", "fleet.go", "keep using a server whose entry can't be parsed", "		d.markRemoved(now, version.ID, known)\n		return Applied\n", "		return Applied\n"),
		in("fleet", "fleet.go", "never forget a removal", "now-known.removedAt >= removalTTL", "false"),
		in("fleet", "evacuation.go", "evacuate again because of an outdated request", "version < known.revision || version == known.revision && !known.inForce", "false"),
		in("fleet", "evacuation.go", "end an evacuation because of an outdated removal", "!known.inForce || asOf < known.revision", "!known.inForce"),
		in("fleet", "evacuation.go", "consider servers warm after an evacuation", "return known.endedAt + assumedColdFor", "return 0"),
		in("fleet", "fleet.go", "send requests to evacuated servers", "return s.Draining || s.Evacuated", "return s.Draining"),
		in("platform", "headers.go", "reject a load with additional values", "if len(parts) < minLoadValues {", "if len(parts) != minLoadValues {"),
		in("platform", "proven.go", "grant before the server has answered on the connection", "		if err := checkConnection(conn, address, path); err != nil {", "		if err := error(nil); path == \"\" && err != nil {"),
		in("platform", "fields.go", "accept entries with missing fields", "		f.fail(field, []byte(missingValue), \"is required\")\n", ""),
		in("platform", "fields.go", "accept any state", "	if slices.Contains(allowed, text) {", "	if true || slices.Contains(allowed, text) {"),
		in("platform", "fields.go", "accept integers out of bounds", "err != nil || number < minimum || number > maximum", "err != nil"),
		in("platform", "fields.go", "accept negative durations", "err != nil || parsed < 0", "err != nil"),
		in("platform", "store.go", "reject a list because of one malformed object", "		return nil // not a JSON object: the name stays empty\n", "		return errConflict\n"),
	}
}
