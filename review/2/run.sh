#!/usr/bin/env bash
# Case 2. TROUBLE=0 runs it without the disruption. The programs must have been built before.
cd "$(dirname "$0")/../.."
exec target/review-standin truncated review/2/record.txt
