"""Strangers at the ports between processes: messages that stop short of their end, without any key. Each case has a
process of its own.
"""
import concurrent.futures
import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# The memory of the machine. Gateways are told of it.
GATEWAY_MB, STAGER_MB = 64, 128
MAX_DESCRIPTORS = 2048
CROWD = 300
ANNOUNCED = 4 << 20  # bytes of a message, of which the last one is missing
SENDERS = 16
HOSTS = iter(range(60, 80))
# Handshake of the protocol PUSH over TCP (SP, version 0, protocol number 80).
HANDSHAKE = b"\0SP\0" + struct.pack(">HH", 0x50, 0)


def prepare(fleet):
    """Nothing besides the usual configuration."""


def open_connections(address, port, make_parts):
    """Sends from a crowd that stays open; a closed or refused connection is allowed."""
    connections = []

    def run(_):
        try:
            connection = socket.create_connection((address, port), timeout=5)
            connections.append(connection)
            for part in make_parts():
                connection.sendall(part)
        except OSError:
            return
    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        list(pool.map(run, range(CROWD)))
    time.sleep(0.3)  # until the process has read what was sent
    return connections


def check_process(daemon, connections, most_kb):
    check(daemon.process.poll() is None, "the process is alive")
    memory = pf.peak_memory_kb(daemon.process)
    descriptors = len(os.listdir(f"/proc/{daemon.process.pid}/fd"))
    print(f"  peak memory {memory} kB, descriptors {descriptors}", flush=True)
    check(memory <= most_kb, f"peak memory is {memory} kB of {most_kb}")
    check(descriptors <= MAX_DESCRIPTORS, f"{descriptors} descriptors of {MAX_DESCRIPTORS} were open")


def short_message():
    """A message without its last byte."""
    yield HANDSHAKE + struct.pack(">Q", ANNOUNCED)
    for _ in range(ANNOUNCED // 65536 - 1):
        yield b"x" * 65536
    yield b"x" * 65535


def announced_message():
    """The length of a message and one byte of it."""
    yield HANDSHAKE + struct.pack(">Q", ANNOUNCED) + b"x"


def silent():
    """A handshake, and nothing after it."""
    yield HANDSHAKE


def attack_gateway(fleet, port, make_parts):
    gateway = fleet.gateway(next(HOSTS), memory_mb=GATEWAY_MB, max_fds=MAX_DESCRIPTORS)
    wait_for(lambda: pf.is_ready(gateway), "the gateway is ready")
    connections = open_connections(gateway.ip, port, make_parts)
    try:
        answer = call(gateway, "/read/1", method="POST", body=b"x" * 100)
        check(answer.status == 200, f"an ordinary request is answered with {answer.status}")
        check_process(gateway, connections, GATEWAY_MB << 10)
    finally:
        for connection in connections:
            connection.close()
        gateway.stop()


def attack_stager(fleet, port, make_parts):
    """A stager under attack, which then brings a version to its server."""
    engine = fleet.engines[0]
    stagers = [fleet.stager(each) for each in fleet.engines]
    try:
        wait_for(lambda: all("version_wanted" in s.log_text() for s in stagers), "the stagers know version 1")
        connections = open_connections(stagers[0].ip, port, make_parts)
        fleet.weights = getattr(fleet, "weights", 1) + 1
        fleet.store.put("op/version/m", {"model": "m", "version": fleet.weights})
        wait_for(lambda: engine.models == {"m": fleet.weights}, "the version is loaded", timeout=20)
        check_process(stagers[0], connections, STAGER_MB << 10)
        for connection in connections:
            connection.close()
    finally:
        for stager in stagers:
            stager.stop()


# Guards against memory that is set aside for whoever announces a message, before any key was looked at.
def case_gateway_messages(fleet):
    """messages that stop one byte short of their end leave a gateway within its memory"""
    attack_gateway(fleet, pf.PEER_PORT, short_message)


def case_gateway_bulk(fleet):
    """the same at the port for chunks"""
    attack_gateway(fleet, pf.BULK_PORT, short_message)


def case_stager_messages(fleet):
    """messages that stop one byte short of their end leave a stager within its memory"""
    attack_stager(fleet, pf.PEER_PORT, short_message)


def case_stager_bulk(fleet):
    """the same at a stager's port for chunks"""
    attack_stager(fleet, pf.BULK_PORT, short_message)


def case_announced(fleet):
    """announced messages leave a gateway within its memory"""
    attack_gateway(fleet, pf.PEER_PORT, announced_message)


# Guards against strangers that take all connections, so that other processes get none.
def case_silent(fleet):
    """strangers that stay silent leave a stager within its descriptors, and its version comes"""
    attack_stager(fleet, pf.BULK_PORT, silent)


CASES = [case_gateway_messages, case_gateway_bulk, case_stager_messages, case_stager_bulk, case_announced, case_silent]

if __name__ == "__main__":
    pf.run_cases(CASES, prepare)
