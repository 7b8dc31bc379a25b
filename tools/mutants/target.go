package main

// targetMutants return mutants of the rule that the target of a request goes on as it was sent.
func targetMutants() []mutant {
	in := breaking("gateway", "TestTargetIs|TestAbsoluteTarget|TestTargetsOfCopies")
	return []mutant{
		in("request.go", "target: choose the route by the path as net/url encodes it", "backendlink.TargetPath(backendlink.RequestTarget(r))", "r.URL.EscapedPath()"),
		in("request.go", "target: send the target as net/url encodes it", "RequestURI: backendlink.RequestTarget(in), ", ""),
		in("request.go", "target: take different targets for copies of one request", "Target: backendlink.RequestTarget(r.httpRequest)", "Target: r.httpRequest.URL.RequestURI()"),
		breaking("link/backendlink", "TestRequestTarget")("target.go", "target: send an absolute target to the server", "	if strings.HasPrefix(sent, \"/\") || !absolute", "	if true || !absolute"),
		breaking("link/backendlink", "TestInvalidTarget")("target.go", "target: write one that ends the request line", "char <= ' ' || char == 0x7f", "false"),
	}
}
