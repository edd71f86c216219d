from baobabstandins.scenarios import random_scenario


def test_seed_gives_the_same_scenario_again():
    assert random_scenario(5) == random_scenario(5)
    assert random_scenario(5).events != random_scenario(6).events
