"""Entry point of `python -m baobabctl`."""

from baobabctl.main import run

if __name__ == "__main__":
    run()
