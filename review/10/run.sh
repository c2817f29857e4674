#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/pewtercourse.jar ] || [ ! -f target/review-2/BorrowedBudget.class ]; then
  echo "not built: mvn -q -DskipTests package && bash review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review-2 BorrowedBudget review/10
