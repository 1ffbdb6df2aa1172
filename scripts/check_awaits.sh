#!/usr/bin/env bash
# Finds co_await expressions that build a braced temporary, and conditions that await and then end
# the coroutine: g++ 12 destroys the first twice and miscompiles the second.
# Build the value in a local variable first.
set -uo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard -- '*.cpp' '*.h')
found=$(echo "$files" | xargs perl -0777 -ne '
  while (/co_await\s([^;{}]*\{[^;{}]*\})/g) {
    my ($what, $before) = ($1, substr($_, 0, $-[0]));
    next if $what =~ /\)\s*\{/s;   # the body of an if, a loop or a lambda
    my $line = 1 + ($before =~ tr/\n//);
    print "$ARGV:$line: braced temporary in a co_await expression\n";
  }
  while (/if \([^;{}]*co_await[^;{}]*\) \{\s*co_return;/g) {
    my $line = 1 + (substr($_, 0, $-[0]) =~ tr/\n//);
    print "$ARGV:$line: awaited condition that ends a coroutine\n";
  }')
[ -z "$found" ] && exit 0
echo "$found"
exit 1
