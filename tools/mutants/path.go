package main

// pathMutants break the rules that the request path rests on.
func pathMutants() []mutant { return nil }
