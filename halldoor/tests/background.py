"""Runs work in threads while a ``with`` block is executed."""

import threading


class Background:
    """Base class that calls `run` in one thread for each item; `run` ends when `is_over` is set."""

    def __init__(self, items):
        self.is_over = threading.Event()
        self._threads = [threading.Thread(target=self.run, args=(item,)) for item in items]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over.set()
        for thread in self._threads:
            thread.join()

    def run(self, item):
        raise NotImplementedError
