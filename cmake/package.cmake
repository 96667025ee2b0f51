# Defines a static library for a package: include/<name>/*.h are its public
# headers, src/ its sources, gen/ its committed generated code and
# test/*_test.c its tests. Each test file is a program of its own and is found
# by pattern, so that branches add tests without conflicts in a list.
function(shallot_package name)
	file(GLOB_RECURSE sources CONFIGURE_DEPENDS
		${CMAKE_SOURCE_DIR}/${name}/src/*.c)
	file(GLOB generated CONFIGURE_DEPENDS
		${CMAKE_SOURCE_DIR}/${name}/gen/*.c)
	add_library(${name} STATIC ${sources} ${generated})
	if(generated)
		set_source_files_properties(${generated} PROPERTIES
			COMPILE_OPTIONS "-w")
	endif()
	target_include_directories(${name}
		PUBLIC ${CMAKE_SOURCE_DIR}/${name}/include
		PRIVATE ${CMAKE_SOURCE_DIR}/${name}/src)
	if(EXISTS ${CMAKE_SOURCE_DIR}/${name}/gen)
		target_include_directories(${name} SYSTEM
			PUBLIC ${CMAKE_SOURCE_DIR}/${name}/gen)
	endif()
	target_link_libraries(${name} PUBLIC ${ARGN})
	set_property(GLOBAL APPEND PROPERTY SHALLOT_PACKAGES ${name})
endfunction()

# Defines the test programs of a package. Tests of any package may use the fakes
# of package fakes.
function(shallot_package_tests name)
	file(GLOB tests CONFIGURE_DEPENDS
		${CMAKE_SOURCE_DIR}/${name}/test/*_test.c)
	foreach(test_file ${tests})
		get_filename_component(test_name ${test_file} NAME_WE)
		add_executable(${name}_${test_name} ${test_file})
		set_target_properties(${name}_${test_name} PROPERTIES
			RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
		target_include_directories(${name}_${test_name} PRIVATE
			${CMAKE_SOURCE_DIR}/${name}/src
			${CMAKE_SOURCE_DIR}/${name}/test)
		target_link_libraries(${name}_${test_name}
			${name} fakes PkgConfig::CHECK)
		add_test(NAME ${name}/${test_name}
			COMMAND ${name}_${test_name})
		# G_SLICE: GLib's slice allocator reuses blocks across threads
		# under locks that the thread sanitizer cannot see. With malloc
		# the sanitizers track every block.
		set_tests_properties(${name}/${test_name} PROPERTIES
			TIMEOUT 300 LABELS ${name}
			ENVIRONMENT "CK_FORK=no;G_SLICE=always-malloc;SHALLOT_SOURCE=${CMAKE_SOURCE_DIR}")
	endforeach()
endfunction()

function(shallot_program name main_file package)
	add_executable(${name} ${main_file})
	target_link_libraries(${name} ${package})
	target_compile_definitions(${name} PRIVATE
		SHALLOT_VERSION="${PROJECT_VERSION}")
endfunction()

function(shallot_all_package_tests)
	get_property(packages GLOBAL PROPERTY SHALLOT_PACKAGES)
	foreach(package ${packages})
		shallot_package_tests(${package})
	endforeach()
endfunction()
