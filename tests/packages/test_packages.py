#!/usr/bin/env python3
"""Tests of scripts/packages: the deploy file's list is exact, and the check reports each kind of deviation."""

import importlib.machinery
import importlib.util
import pathlib
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def load_check():
    loader = importlib.machinery.SourceFileLoader("packages", str(ROOT / "scripts/packages"))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("packages", loader))
    loader.exec_module(module)
    return module


check = load_check()


class PackagesTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        scratch = tempfile.TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        cls.tree = check.make_checkout(pathlib.Path(scratch.name))
        cls.used, cls.unowned = check.find_owners(check.find_used_files(cls.tree))
        cls.listed = check.read_deploy(cls.tree)[1]

    def test_list_is_exact(self):
        self.assertEqual(check.compare(self.used, self.unowned, self.listed), [])

    def test_each_missing_package_is_reported(self):
        for package in sorted(self.listed):
            with self.subTest(package=package):
                lines = check.compare(self.used, self.unowned, self.listed - {package})
                self.assertTrue(any(line.startswith(f"not listed: {package} ") for line in lines), lines)

    # The list in use at an earlier incident lacked these packages.
    def test_list_without_tools_and_pcg_is_reported(self):
        tools = {"g++", "cmake", "make", "pkgconf"}
        lines = check.compare(self.used, self.unowned, self.listed - tools - {"libpcg-cpp-dev"})
        self.assertIn("not listed: libpcg-cpp-dev (/usr/include/pcg_extras.hpp)", lines)

    def test_unused_listed_package_is_reported(self):
        lines = check.compare(self.used, self.unowned, self.listed | {"librapidcheck-dev"})
        self.assertEqual(lines, ["listed but not used: librapidcheck-dev"])

    def test_file_without_package_is_reported(self):
        with tempfile.NamedTemporaryFile(suffix=".h") as header:
            self.assertEqual(check.find_owners({header.name}), ({}, {header.name}))


class ChangedTreeTest(unittest.TestCase):
    """Changes that use an installed package which isn't listed. Each test has its own checkout."""

    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.tree = check.make_checkout(pathlib.Path(scratch.name))

    def compare(self, *sources):
        used, unowned = check.find_owners(check.find_used_files(self.tree, set(sources)))
        return [line for line in check.compare(used, unowned, check.read_deploy(self.tree)[1])
                if line.startswith("not listed")]

    def test_new_include_is_reported(self):
        source = self.tree / "src/base/base.cpp"
        source.write_text(source.read_text() + "#include <criterion/criterion.h>\n")
        self.assertRegex("\n".join(self.compare(source.resolve())), r"not listed: libcriterion-dev \(/usr/include/criterion/")

    def test_new_library_and_tool_are_reported(self):
        path = self.tree / "CMakeLists.txt"
        text = path.read_text()
        at = text.index("if(NOT PERIDOTWALK_DEVELOPER)")
        added = ("target_link_libraries(peridotwalk PRIVATE criterion)\n"
                 "find_program(FORMATTER clang-format-14 clang-format REQUIRED)\n")
        path.write_text(text[:at] + added + text[at:])
        lines = "\n".join(self.compare())
        self.assertRegex(lines, r"not listed: libcriterion-dev \(/usr/lib/.*libcriterion\.so\)")
        self.assertRegex(lines, r"not listed: clang-format")


if __name__ == "__main__":
    unittest.main()
