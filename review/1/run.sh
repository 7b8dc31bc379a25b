#!/usr/bin/env bash
# Case 1. TROUBLE=0 runs it without the disruption. The programs must have been built before.
cd "$(dirname "$0")/../.."
exec target/review-standin repeated review/1/record.txt
