"""Starts the machines of a small deployment with the deploy file's command."""

import json
import os
import re
import signal
import subprocess
import threading
import time
import tomllib
import http.client

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.45
MISSES_UNTIL_OUT = 2
RESTART_DELAY_S = 0.3
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def read_role():
    """Returns the only role of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["node"]


def fill_in(template, fields):
    """Fills in placeholders as DEPLOY.md says."""
    def value_of(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) \
                else value[name]
        if isinstance(value, list):
            return ",".join(str(part) for part in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)
    return PLACEHOLDER.sub(value_of, template)


class Node:
    """One machine and its process."""

    def __init__(self, name, zone, address, ports, store, folder):
        self.name = name
        self.zone = zone
        self.address = address
        self.ports = ports
        self.store = store
        self.folder = folder
        self.process = None
        self.started = []
        self.is_in_rotation = False
        self.misses = 0

    def fields(self, seeds):
        """Returns the settings that the platform hands out."""
        return {
            "nodeName": self.name, "zone": self.zone, "region": "north",
            "ip": self.address, "internalPorts": [self.ports["inner"],
                                                  self.ports["inner"] + 15],
            "seeds": seeds,
            "listenAddrs": {
                "datagramAddr": f"{self.address}:{self.ports['datagram']}",
                "readyAddr": f"{self.address}:{self.ports['ready']}"},
            "limits": {"linkMbps": 1000.0},
            "platform": {"address": self.store}}

    def start(self, seeds):
        """Writes the settings and starts the process."""
        role = read_role()
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_in(template, self.fields(seeds)))
        command = role["run"].replace("/etc/shallotstream/node.toml", path)
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(command.split(), cwd=ROOT,
                                            stdout=log, stderr=log)
        self.started.append(self.process)

    def kill(self):
        """Ends every process that was started on this machine."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
                process.wait()

    def probe(self):
        """Asks once whether the node is ready, as the platform's routers do."""
        connection = http.client.HTTPConnection(
            self.address, self.ports["ready"], timeout=PROBE_TIMEOUT_S)
        try:
            connection.request("GET", "/readyz")
            is_ready = connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            is_ready = False
        finally:
            connection.close()
        if is_ready:
            self.misses = 0
            self.is_in_rotation = True
        else:
            self.misses += 1
            if self.misses >= MISSES_UNTIL_OUT:
                self.is_in_rotation = False


class Fleet:
    """The machines, the routers' view of them, and the planned work."""

    def __init__(self, nodes, note):
        self.nodes = nodes
        self.note = note
        self.seeds = [f"{node.address}:{node.ports['inner']}"
                      for node in nodes[:3]]
        self.is_stopping = False
        self.threads = []
        self.failure = None

    def _in_thread(self, target, *args):
        def work():
            try:
                target(*args)
            except Exception as error:  # reported when the case ends
                self.failure = repr(error)

        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        self.threads.append(thread)

    def _probe_forever(self, node, delay_s):
        next_s = time.monotonic() + delay_s
        while not self.is_stopping:
            time.sleep(max(next_s - time.monotonic(), 0))
            was_in_rotation = node.is_in_rotation
            node.probe()
            if node.is_in_rotation != was_in_rotation:
                self.note(f"router: {node.name} is "
                          f"{'in' if node.is_in_rotation else 'out of'} "
                          "rotation")
            next_s += PROBE_INTERVAL_S

    def start(self):
        """Starts all processes and the probes, whose phases differ."""
        for node in self.nodes:
            node.start(self.seeds)
        for position, node in enumerate(self.nodes):
            self._in_thread(self._probe_forever, node,
                            PROBE_INTERVAL_S * position / len(self.nodes))

    def choose(self, zone, flow_hash):
        """Returns the node that a zone's router forwards a packet to."""
        own = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in own if node.is_in_rotation]
        if not ready:
            ready = [node for node in self.nodes if node.is_in_rotation]
        elif 2 * len(ready) < len(own):
            ready = own
        return ready[flow_hash % len(ready)] if ready else None

    def restart(self, node, grace_s):
        """Stops a process with SIGTERM and starts it again."""
        self.note(f"operator: SIGTERM to {node.name}")
        node.process.send_signal(signal.SIGTERM)
        try:
            node.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            node.process.kill()
            node.process.wait()
        self.note(f"operator: {node.name} ended with "
                  f"{node.process.returncode}")
        time.sleep(RESTART_DELAY_S)
        if not self.is_stopping:
            node.start(self.seeds)

    def roll(self, gap_s, grace_s):
        """Restarts the machines in turn, one each gap_s."""
        def work():
            for node in self.nodes:
                if self.is_stopping:
                    return
                begin = time.monotonic()
                self.restart(node, grace_s)
                time.sleep(max(begin + gap_s - time.monotonic(), 0))
        self._in_thread(work)

    def stop(self):
        """Ends all processes."""
        self.is_stopping = True
        for node in self.nodes:
            node.kill()
        for thread in self.threads:
            thread.join(3)
        for node in self.nodes:
            node.kill()
