#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the same is played without the disruption. What was sent, answered and run is
# written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/oleanderramp ] || [ ! -x target/review-stand ]; then
	echo "build first: the build of the deploy file and review/build.sh" >&2
	exit 2
fi
trouble=with-trouble
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=without-trouble
fi
exec target/review-stand drain review/5 "$trouble"
