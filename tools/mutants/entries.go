package main

// entryMutants break the rules by which entries of servers are read and believed.
func entryMutants() []mutant {
	in := func(pkg, file, name, old, fresh string) mutant {
		return mutant{name: "entries: " + name, file: pkg + "/" + file, old: old, new: fresh, pkg: pkg, run: "."}
	}
	return []mutant{
		in("fleet", "fleet.go", "believe older versions", "version.Revision < known.revision || version.Revision == known.revision && known.ended", "false"),
		in("fleet", "fleet.go", "believe an old end", "known.ended || asOf < known.revision {", "known.ended {"),
		in("fleet", "fleet.go", "believe an earlier start at once", "known.earlier < believedWrites", "false"),
		in("fleet", "fleet.go", "never believe an earlier start", "known.earlier < believedWrites", "true"),
		in("fleet", "fleet.go", "keep using what can't be read", "		d.end(now, version.ID, known)\n		return Taken\n", "		return Taken\n"),
		in("fleet", "fleet.go", "never forget an end", "now-known.endedAt >= endKept", "false"),
		in("fleet", "evacuation.go", "evacuate again by old news", "version < known.revision || version == known.revision && !known.inForce", "false"),
		in("fleet", "evacuation.go", "take back by old news", "!known.inForce || asOf < known.revision", "!known.inForce"),
		in("fleet", "evacuation.go", "trust servers that are taken back", "return known.endedAt + coldDoubt", "return 0"),
		in("fleet", "fleet.go", "use evacuated servers", "return s.Draining || s.Evacuated", "return s.Draining"),
		in("platform", "headers.go", "reject a load with additional values", "if len(parts) < minLoadValues {", "if len(parts) != minLoadValues {"),
		in("platform", "proven.go", "grant before the server has answered on the connection", "		if err := checkConnection(conn, address, path); err != nil {", "		if err := error(nil); path == \"\" && err != nil {"),
		in("platform", "fields.go", "accept entries with missing fields", "		f.fail(field, []byte(missingValue), \"is required\")\n", ""),
		in("platform", "fields.go", "accept any state", "	if slices.Contains(allowed, text) {", "	if true || slices.Contains(allowed, text) {"),
		in("platform", "fields.go", "accept integers out of bounds", "err != nil || number < minimum || number > maximum", "err != nil"),
		in("platform", "fields.go", "accept negative durations", "err != nil || parsed < 0", "err != nil"),
		in("platform", "store.go", "reject a list because of one malformed object", "		return nil // not a JSON object: the name stays empty\n", "		return errConflict\n"),
	}
}
