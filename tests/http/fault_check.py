#!/usr/bin/env python3
"""A process that is killed by a fatal signal prints the signal, the address and a backtrace to standard error."""
import os
import re
import signal
import subprocess
import sys

from bytes_check import TOP

failed = 0


def check(name, holds, seen):
    global failed
    failed += not holds
    print(f"{'ok  ' if holds else 'FAIL'} {name}" + ("" if holds else f": {seen}"))


def fault_of(number):
    """The standard error and the exit code of an http-gateway that receives a signal."""
    process = subprocess.Popen([f"{TOP}/build/bin/http-gateway"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    process.stdout.readline()
    os.kill(process.pid, number)
    text = process.communicate(timeout=10)[1]
    return text, process.returncode


for number in (signal.SIGSEGV, signal.SIGBUS, signal.SIGABRT):
    text, code = fault_of(number)
    check(f"{number.name} is named", f"fault: {number.name} at address 0x" in text, text)
    check(f"{number.name}: a backtrace with module and offset", re.search(r"http-gateway\(.*\+0x[0-9a-f]+\)", text), text)
    check(f"{number.name} still terminates the process", code == -number, code)
print(f"{9 - failed} passed, {failed} failed")
sys.exit(failed > 0)
