# Declares one package of the workspace: a static library from src/, and one
# CppUnit runner from the *_test.cc files in test/.
#
#   coltsfoottide_package(core DEPENDS coltsfoottide::schema
#                         EXAMPLES examples/placement.cc
#                         BENCHMARKS benchmarks/worker_benchmark.cc)
function(coltsfoottide_package NAME)
  cmake_parse_arguments(ARG "NO_INSTALL" "" "DEPENDS;TEST_DEPENDS;EXAMPLES;BENCHMARKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cc)
  set(target coltsfoottide_${NAME})
  add_library(${target} STATIC ${sources})
  add_library(coltsfoottide::${NAME} ALIAS ${target})
  target_include_directories(${target} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                                       PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror)
  target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  if(NOT ARG_NO_INSTALL)
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
  if(BUILD_TESTING AND tests)
    add_executable(${target}_test ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
    target_include_directories(${target}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                                                      ${CMAKE_CURRENT_SOURCE_DIR}/test)
    target_compile_options(${target}_test PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${target}_test PRIVATE ${target} PkgConfig::CPPUNIT rapidcheck
                                                 ${ARG_TEST_DEPENDS})
    add_test(NAME ${NAME} COMMAND ${target}_test)
    # A fixed RapidCheck seed makes the result reproducible. Without it, as when
    # the runner is started by hand, each run takes a new seed and prints it.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
  foreach(example ${ARG_EXAMPLES})
    get_filename_component(stem ${example} NAME_WE)
    add_executable(${target}_example_${stem} ${example})
    target_link_libraries(${target}_example_${stem} PRIVATE ${target})
    add_test(NAME ${NAME}_example_${stem} COMMAND ${target}_example_${stem})
  endforeach()
  foreach(bench ${ARG_BENCHMARKS})
    get_filename_component(stem ${bench} NAME_WE)
    add_executable(${target}_${stem} ${bench})
    target_link_libraries(${target}_${stem} PRIVATE ${target} benchmark::benchmark)
  endforeach()
endfunction()
